import type {GatewayContext} from '../gateway/gateway_context.js';
import type {AttemptEvidence} from '../types/attempt_evidence.js';
import type {AttemptFailure} from '../types/attempt_failure.js';
import type {CurrentAttempt} from './current_attempt.js';
import type {ForwardedRequest} from './forwarded_request.js';

/** How much of an answer had arrived when its attempt failed. */
type AnswerProgress = 'nothing' | 'head' | 'pieces';

/** Whether the connection of a failed attempt had carried other requests. */
type ConnectionUse = 'new' | 'reused' | 'unknown';

/** Logs and counts an attempt that ended without a whole answer. */
export function reportFailedAttempt(
  ctx: GatewayContext,
  req: ForwardedRequest,
  current: CurrentAttempt,
  failure: AttemptFailure,
  detail: string,
  evidence: AttemptEvidence | undefined,
): void {
  const {headMs, pieces, startedMs} = current;
  ctx.emit({
    kind: 'write_log',
    event: 'WL8303',
    fields: {
      reqId: req.reqId,
      attempt: current.attempt,
      endpoint: current.choice.main.id,
      failure,
      detail,
      pieces,
      headAfterMs: headMs === undefined ? -1 : Math.round(headMs - startedMs),
      afterMs: Math.round(ctx.nowMs - startedMs),
      connection: evidence?.connection ?? -1,
      earlierRequests: evidence?.earlierRequests ?? -1,
      answer: evidence?.answer ?? 'unknown',
      parts: req.arrived.sharedParts.join(' '),
    },
  });
  ctx.emit({
    kind: 'observe',
    metric: 'failed_attempts_total',
    labels: {
      service: req.service,
      failure,
      answered: progressOf(current),
      connection: useOf(evidence),
    },
    value: 1,
  });
}

function progressOf({headMs, pieces}: CurrentAttempt): AnswerProgress {
  if (pieces > 0) return 'pieces';
  return headMs === undefined ? 'nothing' : 'head';
}

/** Unknown also if there was no connection. */
function useOf(evidence: AttemptEvidence | undefined): ConnectionUse {
  if (!evidence || evidence.connection === 0) return 'unknown';
  return evidence.earlierRequests > 0 ? 'reused' : 'new';
}
