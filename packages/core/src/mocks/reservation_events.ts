import type {Reserve} from '../router/actions/reserve.js';
import type {RouterAction} from '../router/actions/router_action.js';
import type {ReservationSettled} from '../router/events/reservation_settled.js';
import type {RouterEvent} from '../router/events/router_event.js';
import {createRouterNode} from '../router/router_node.js';
import {requestArrived, routerConfig, tableRead} from './router_events.js';
import {classRow, customerRow, endpointRow} from './rows.js';
import {createStepHarness, type StepHarness} from './step_harness.js';

/** A router under test on a virtual clock. */
export type Router = StepHarness<RouterEvent, RouterAction>;

/** A router with three engines of 400,000 tokens each. */
export function threeEngines(): Router {
  const names = ['engine-3', 'engine-1', 'engine-2'];
  const cfg = routerConfig({strategy: 'expected_cost', queue: 'fair'});
  const router = createStepHarness(createRouterNode(cfg));
  router.step(
    tableRead([
      classRow({timeoutMs: 600_000}),
      customerRow(),
      ...names.map(name => endpointRow({name})),
    ]),
  );
  return router;
}

/** A request whose prompt exceeds the memory of one engine. */
export function oversizedRequest(
  reqId = 'req-1',
  promptTokens = 900_000,
): RouterEvent {
  return requestArrived({reqId, promptTokens});
}

/** The actions of one kind. */
export function actionsOfKind<K extends RouterAction['kind']>(
  actions: RouterAction[],
  kind: K,
): Extract<RouterAction, {kind: K}>[] {
  return actions.filter(
    (action): action is Extract<RouterAction, {kind: K}> =>
      action.kind === kind,
  );
}

/** An engine's answer to a reservation. */
export function reservationAnswer(
  {reqId, attempt, endpoint}: Reserve,
  granted: boolean,
): ReservationSettled {
  const sessionId = granted ? `${reqId}/${attempt}/${endpoint}` : '';
  return {
    kind: 'reservation_settled',
    reqId,
    attempt,
    endpoint,
    granted,
    sessionId,
  };
}
