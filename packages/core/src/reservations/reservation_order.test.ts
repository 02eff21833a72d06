import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  reservationAnswer,
  oversizedRequest,
  threeEngines,
} from '../mocks/reservation_events.js';
import type {Reserve} from '../router/actions/reserve.js';
import type {RouterAction} from '../router/actions/router_action.js';
import type {ReservationSettled} from '../router/events/reservation_settled.js';

const ANSWER_KINDS = ['grant', 'refuse', 'late', 'lost', 'twice'] as const;

test('no order of answers deadlocks or leaks a reservation', () => {
  const plan = fc.record({
    requests: fc.integer({min: 1, max: 4}),
    answerKinds: fc.array(fc.constantFrom(...ANSWER_KINDS), {maxLength: 60}),
    order: fc.array(fc.nat(), {minLength: 1, maxLength: 60}),
  });
  fc.assert(
    fc.property(plan, ({requests, answerKinds, order}) => {
      const router = threeEngines();
      const granted = new Set<string>();
      const released = new Set<string>();
      const finished = new Set<string>();
      const answers: ReservationSettled[] = [];
      const late: ReservationSettled[] = [];
      let reserveCount = 0;

      function handle(actions: RouterAction[]): void {
        for (const action of actions) {
          if (action.kind === 'finish') finished.add(action.reqId);
          if (action.kind === 'release_session') released.add(action.sessionId);
          if (action.kind === 'reserve') answer(action);
          if (action.kind === 'start_attempt') {
            const {reqId, attempt} = action;
            handle(
              router.step({kind: 'attempt_ended', reqId, attempt, sequence: 0}),
            );
          }
        }
      }

      function answer(request: Reserve): void {
        const answerKind = answerKinds[reserveCount++] ?? 'grant';
        const event = reservationAnswer(request, answerKind !== 'refuse');
        if (answerKind === 'late') late.push(event);
        else if (answerKind !== 'lost') answers.push(event);
        if (answerKind === 'twice') answers.push(event);
      }

      function deliver(event: ReservationSettled): void {
        if (event.granted) granted.add(event.sessionId);
        handle(router.step(event));
      }

      for (let i = 0; i < requests; i++)
        handle(router.step(oversizedRequest(`req-${i}`)));
      for (let i = 0; i < 600; i++) {
        const pick = order[i % order.length]! % Math.max(1, answers.length);
        for (const event of answers.splice(pick, 1)) deliver(event);
        handle(router.step({kind: 'tick'}, 20));
      }
      for (const event of late) deliver(event);
      handle(router.step({kind: 'tick'}, 600_000));
      assert.equal(finished.size, requests);
      assert.deepEqual([...granted].sort(), [...released].sort());
    }),
    {seed: 2_025, numRuns: 150},
  );
});
