import {createStepHarness} from '@wisterialadder/core/mocks/step_harness.js';
import type {LoadAction} from '../load_action.js';
import type {LoadEvent} from '../load_event.js';
import {createLoadNode} from '../load_node.js';
import type {Mix} from '../mix/mix.js';
import type {PlannedRequest} from '../requests/planned_request.js';
import type {LoadResult} from '../stats/load_result.js';
import {mix} from './mix.js';

const ANSWER_MS = 100;
const MAX_STEPS = 10_000;

/** Runs a load of 5 s on a virtual clock; each answer takes 100 ms. */
export function runLoad(
  answer: (request: PlannedRequest) => LoadEvent[],
  executions: Record<string, number> = {},
  overrides: Partial<Mix> = {},
): {result: LoadResult; requests: PlannedRequest[]} {
  const node = createLoadNode(
    {
      routers: 2,
      durationMs: 5_000,
      maxInFlight: 10,
      graceMs: 500,
      baselineRequests: 1,
      shortTokens: 10_000,
    },
    mix(overrides),
    'test',
  );
  const harness = createStepHarness(node);
  const requests: PlannedRequest[] = [];
  const due: {atMs: number; events: LoadEvent[]}[] = [];
  let result: LoadResult | undefined;

  function perform(action: LoadAction): void {
    if (action.kind === 'send_request') {
      requests.push(action.request);
      const atMs = harness.nowMs() + ANSWER_MS;
      due.push({atMs, events: answer(action.request)});
    } else if (action.kind === 'read_executions') {
      due.push({
        atMs: harness.nowMs(),
        events: [{kind: 'executions_read', executions}],
      });
    } else if (action.kind === 'finish') result = action.result;
  }

  for (let i = 0; i < MAX_STEPS && !result; i++) {
    harness.step({kind: 'tick'}, 10).forEach(perform);
    while ((due[0]?.atMs ?? Infinity) <= harness.nowMs()) {
      for (const event of due.shift()?.events ?? []) {
        harness.step(event).forEach(perform);
      }
    }
  }
  if (!result) throw new Error('the run did not finish');
  return {result, requests};
}
