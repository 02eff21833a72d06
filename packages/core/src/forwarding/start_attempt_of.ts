import type {StartAttempt} from '../gateway/actions/start_attempt.js';
import type {EndpointChoice} from '../spread/endpoint_choice.js';
import type {ForwardedRequest} from './forwarded_request.js';

const LOWEST_PRIORITY = 9;

/**
 * Creates the action that sends a request to its chosen endpoint.
 * @param ticket id of the memory reservation on helpers; empty for none
 */
export function startAttemptOf(
  req: ForwardedRequest,
  choice: EndpointChoice,
  ticket: string,
  connection: Pick<StartAttempt, 'maxConnections' | 'newConnection'>,
  nowMs: number,
): StartAttempt {
  const {route, customer} = req;
  const priority = customer?.priority ?? route.priority;
  return {
    kind: 'start_attempt',
    reqId: req.reqId,
    attempt: req.attempts,
    endpoint: choice.main.id,
    address: choice.main.address,
    ...connection,
    streamed: route.kind === 'stream',
    customer: customer?.name ?? '',
    remainingMs: Math.max(1, Math.floor(req.deadlineMs - nowMs)),
    notAfterMs: req.deadlineMs,
    priority: Math.min(LOWEST_PRIORITY, priority),
    helpers: choice.helpers.map(({address}) => ({address, ticket})),
    resumeAfter: req.lastPiece,
  };
}
