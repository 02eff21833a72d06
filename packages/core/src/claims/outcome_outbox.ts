import type {RouterContext} from '../router/router_context.js';
import type {ClaimEntry} from './claim_entry.js';
import type {RecordedOutcome} from './recorded_outcome.js';
import type {RecorderLink} from './recorder_link.js';
import {resendDelayMs} from './resend_delay_ms.js';
import type {UnrecordedOutcome} from './unrecorded_outcome.js';

/** Readers answer `unknown` for a claim whose outcome is not recorded. */
const GIVE_UP_MS = 60_000;
/** A stopping router waits this long for outcomes to be recorded. */
const STOP_WAIT_MS = 2_000;

/** Outcomes of this router's claims on their way to the log. */
export interface OutcomeOutbox {
  post(ctx: RouterContext, claim: ClaimEntry, outcome: RecordedOutcome): void;
  receipted(claimId: string): void;
  /** Outcomes that are worth delaying the end of the process for. */
  urgent(nowMs: number): number;
  /** Sends again what was not receipted in time. */
  expire(ctx: RouterContext): void;
}

/** Creates an empty outbox. */
export function createOutcomeOutbox(send: RecorderLink): OutcomeOutbox {
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

  function urgent(nowMs: number): number {
    let count = 0;
    for (const {endedMs} of unrecorded.values()) {
      if (nowMs - endedMs < STOP_WAIT_MS) count += 1;
    }
    return count;
  }

  function expire(ctx: RouterContext): void {
    for (const item of [...unrecorded.values()]) {
      if (ctx.nowMs - item.endedMs >= GIVE_UP_MS) giveUp(ctx, item);
      else if (ctx.nowMs >= item.resendMs) transmit(ctx, item);
    }
  }

  function giveUp(ctx: RouterContext, {entry}: UnrecordedOutcome): void {
    const {claimId, outcome} = entry;
    unrecorded.delete(claimId);
    const fields = {claimId, outcome};
    ctx.emit({kind: 'write_log', event: 'WL3002', fields});
  }

  return {
    post,
    receipted: claimId => unrecorded.delete(claimId),
    urgent,
    expire,
  };
}
