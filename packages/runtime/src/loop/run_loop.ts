import {performance} from 'node:perf_hooks';
import {merge, never, periodic, type Stream} from 'most';
import type {DecisionNode} from '@wisterialadder/core/types/decision_node.js';
import type {RandomSource} from '@wisterialadder/core/types/random_source.js';

/** Resolution of every timeout unless the program asks for another. */
const TICK_INTERVAL_MS = 10;

/** What the loop connects. */
export interface LoopParts<E, A> {
  node: DecisionNode<E, A>;
  sources: Stream<E>[];
  /** Event that the timer feeds to the node. */
  tick: E;
  /** Pause between two ticks, in milliseconds. */
  tickIntervalMs?: number;
  random: RandomSource;
  /** Carries out one action. Errors end neither the loop nor the step. */
  perform(action: A): void;
  onError(err: unknown): void;
  /** Ends the loop when it yields. */
  stop: Stream<unknown>;
}

/**
 * Merges all sources into one stream, feeds it to the node and performs the
 * resulting actions, all on the calling thread. Resolves after `stop`.
 */
export async function runLoop<E, A>(parts: LoopParts<E, A>): Promise<void> {
  const intervalMs = parts.tickIntervalMs ?? TICK_INTERVAL_MS;
  const ticks = periodic(intervalMs).constant(parts.tick);
  const events = merge(ticks, ...parts.sources, never());
  await events
    .until(parts.stop)
    .map(event => step(parts, event))
    .observe(actions => {
      for (const action of actions) guarded(parts, () => parts.perform(action));
    });
}

// An exception in an operator would end the stream for good.
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

function guarded<E, A>(parts: LoopParts<E, A>, run: () => void): void {
  try {
    run();
  } catch (err) {
    parts.onError(err);
  }
}
