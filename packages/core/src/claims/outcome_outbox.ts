import type {RouterContext} from '../router/router_context.js';
import type {ClaimEntry} from './claim_entry.js';
import type {RecordedOutcome} from './recorded_outcome.js';
import type {SendToRecorder} from './send_to_recorder.js';
import {resendDelayMs} from './resend_delay_ms.js';
import type {UnrecordedOutcome} from './unrecorded_outcome.js';

/** Resending stops after this time; readers then answer `unknown`. */
const RESEND_LIMIT_MS = 60_000;
/** Maximum time that a stopping router waits for an outcome. */
const STOP_WAIT_MS = 2_000;

/** Resends outcomes of this router's claims until they are recorded. */
export interface OutcomeOutbox {
  post(ctx: RouterContext, claim: ClaimEntry, outcome: RecordedOutcome): void;
  acknowledged(claimId: string): void;
  /** Number of outcomes recent enough to delay the stop of the process. */
  countDelayingStop(nowMs: number): number;
  /** Resends outcomes that were not acknowledged in time. */
  expire(ctx: RouterContext): void;
}

/** Creates an empty outbox. */
export function createOutcomeOutbox(send: SendToRecorder): OutcomeOutbox {
  const unrecorded = new Map<string, UnrecordedOutcome>();

  function post(
    ctx: RouterContext,
    claim: ClaimEntry,
    outcome: RecordedOutcome,
  ): void {
    const {claimId, key, owner, incarnation} = claim;
    const item: UnrecordedOutcome = {
      entry: {type: 'outcome', claimId, key, owner, incarnation, outcome},
      endedMs: ctx.nowMs,
      sends: 0,
      resendMs: 0,
    };
    unrecorded.set(claimId, item);
    transmit(ctx, item);
  }

  function transmit(ctx: RouterContext, item: UnrecordedOutcome): void {
    const {entry} = item;
    const sends = item.sends++;
    item.resendMs = ctx.nowMs + resendDelayMs(item.sends);
    send(ctx, entry.key, sends, {kind: 'outcome_report', outcome: entry});
  }

  function countDelayingStop(nowMs: number): number {
    let count = 0;
    for (const {endedMs} of unrecorded.values()) {
      if (nowMs - endedMs < STOP_WAIT_MS) count += 1;
    }
    return count;
  }

  function expire(ctx: RouterContext): void {
    for (const item of [...unrecorded.values()]) {
      if (ctx.nowMs - item.endedMs >= RESEND_LIMIT_MS) discard(ctx, item);
      else if (ctx.nowMs >= item.resendMs) transmit(ctx, item);
    }
  }

  function discard(ctx: RouterContext, {entry}: UnrecordedOutcome): void {
    const {claimId, outcome} = entry;
    unrecorded.delete(claimId);
    const fields = {claimId, outcome};
    ctx.emit({kind: 'write_log', event: 'WL3002', fields});
  }

  return {
    post,
    acknowledged: claimId => unrecorded.delete(claimId),
    countDelayingStop,
    expire,
  };
}
