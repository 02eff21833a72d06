import type {StartAttempt} from '../router/actions/start_attempt.js';
import type {RouteChoice} from '../routing/route_choice.js';
import {DEADLINE_MARGIN_MS} from './deadline_margin.js';
import type {RequestState} from './request_state.js';

/** Builds the action that sends a request to its chosen endpoint. */
export function startAttemptAction(
  state: RequestState,
  choice: RouteChoice,
  nowMs: number,
): StartAttempt {
  const {row} = choice.endpoint;
  const {reqId, priority, deadlineMs} = state.entry;
  return {
    kind: 'start_attempt',
    reqId,
    attempt: state.attempt,
    endpoint: row.name,
    endpointKind: row.kind,
    url: row.url,
    service: row.service,
    resumeFrom: state.nextSequence,
    priority,
    timeoutMs: deadlineMs - nowMs,
    notAfterMs: deadlineMs - DEADLINE_MARGIN_MS,
    reservations: choice.reservations ?? [],
  };
}
