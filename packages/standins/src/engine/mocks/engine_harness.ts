import {createStepHarness} from '@wisterialadder/core/mocks/step_harness.js';
import type {EngineAction} from '../actions/engine_action.js';
import type {EngineConfig} from '../engine_config.js';
import {createEngineNode, type EngineNode} from '../engine_node.js';
import type {EngineEvent} from '../events/engine_event.js';
import {engineConfig} from './engine_config.js';

/** An engine on a virtual clock that records its actions. */
export interface EngineHarness {
  node: EngineNode;
  actions: EngineAction[];
  step(event: EngineEvent, advanceMs?: number): EngineAction[];
  /** Advances the clock in ticks of 10 ms. */
  run(ms: number): void;
  /** Sequence numbers and texts of the parts of a call. */
  parts(callId: string): [number, string][];
  /** Whether the call has received its end marker. */
  ended(callId: string): boolean;
  nowMs(): number;
}

/** Creates the harness. */
export function createEngineHarness(
  overrides: Partial<EngineConfig> = {},
): EngineHarness {
  const node = createEngineNode(engineConfig(overrides));
  const harness = createStepHarness(node);
  const actions: EngineAction[] = [];

  function step(event: EngineEvent, advanceMs = 0): EngineAction[] {
    const emitted = harness.step(event, advanceMs);
    actions.push(...emitted);
    return emitted;
  }

  return {
    node,
    actions,
    step,
    run: ms => {
      for (let i = 0; i < ms; i += 10) step({kind: 'tick'}, 10);
    },
    parts: callId =>
      actions.flatMap((action): [number, string][] =>
        action.kind === 'send_part' && action.callId === callId
          ? [[action.sequence, action.text]]
          : [],
      ),
    ended: callId =>
      actions.some(
        action => action.kind === 'end_stream' && action.callId === callId,
      ),
    nowMs: harness.nowMs,
  };
}
