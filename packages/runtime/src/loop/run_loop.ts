import {performance} from 'node:perf_hooks';
import {merge, never, type Stream} from 'most';
import type {DecisionNode} from '@wisterialadder/core/types/decision_node.js';
import type {RandomSource} from '@wisterialadder/core/types/random_source.js';
import {createQuietTicks} from './quiet_ticks.js';

/** Default tick interval, the resolution of every timeout. */
const TICK_INTERVAL_MS = 10;

/** Node, inputs and outputs of the loop. */
export interface LoopParts<E, A> {
  node: DecisionNode<E, A>;
  sources: Stream<E>[];
  /** Event that is fed to the node after an interval without another. */
  tick: E;
  tickIntervalMs?: number;
  /** Interval while the node says that ticks may be rare. */
  rareTickIntervalMs?: number;
  random: RandomSource;
  /** Performs one action; an error ends neither the loop nor the step. */
  perform(action: A): void;
  onError(err: unknown): void;
  /** Ends the loop when it emits. */
  stop: Stream<unknown>;
}

/**
 * Merges all sources into one stream, feeds it to the node and performs the
 * resulting actions, all on the calling thread. Resolves after `stop`.
 */
export async function runLoop<E, A>(parts: LoopParts<E, A>): Promise<void> {
  const ticks = createQuietTicks(parts.tick, tickIntervalMs(parts));
  try {
    await merge(ticks.stream, ...parts.sources, never())
      .until(parts.stop)
      .map(event => step(parts, event))
      .observe(actions => {
        ticks.stepped(tickIntervalMs(parts));
        for (const action of actions) performSafely(parts, action);
      });
  } finally {
    ticks.stop();
  }
}

function tickIntervalMs<E, A>(parts: LoopParts<E, A>): number {
  const {tickIntervalMs: usualMs = TICK_INTERVAL_MS} = parts;
  const rare = parts.node.mayTickRarely?.(performance.now()) ?? false;
  return rare ? (parts.rareTickIntervalMs ?? usualMs) : usualMs;
}

// An exception in a stream operator would end the stream permanently.
function step<E, A>(parts: LoopParts<E, A>, event: E): A[] {
  try {
    return parts.node.step({
      event,
      nowMs: performance.now(),
      wallMs: Date.now(),
      random: parts.random,
    });
  } catch (err) {
    parts.onError(err);
    return [];
  }
}

function performSafely<E, A>(parts: LoopParts<E, A>, action: A): void {
  try {
    parts.perform(action);
  } catch (err) {
    parts.onError(err);
  }
}
