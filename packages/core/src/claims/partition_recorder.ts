import type {AppendSettled} from '../router/events/append_settled.js';
import type {LogRead} from '../router/events/log_read.js';
import type {RouterContext} from '../router/router_context.js';
import {createAppendBatcher} from './append_batcher.js';
import type {ClaimEntry} from './claim_entry.js';
import {partitionStream} from './claim_key.js';
import type {ClaimLogState} from './claim_log_state.js';
import type {ClaimVerdict} from './claim_verdict.js';
import type {ClaimsConfig} from './claims_config.js';
import type {OutcomeEntry} from './outcome_entry.js';
import {createPartitionFold} from './partition_fold.js';
import type {PendingEntry} from './pending_entry.js';
import type {RecorderReply} from './recorder_reply.js';

/** A claim that the log has refused for this long is rejected as not run. */
const OUTAGE_PATIENCE_MS = 1_000;
/** The owner sends an outcome again if it is dropped after this time. */
const OUTCOME_KEEP_MS = 10_000;
/** A partition without entries is followed this much longer. */
const TAIL_IDLE_MS = 30_000;
const PRUNE_INTERVAL_MS = 10_000;

/** Records the claims of one partition and answers from the log's order. */
export interface PartitionRecorder {
  submit(ctx: RouterContext, claim: ClaimEntry, from: string): void;
  report(ctx: RouterContext, outcome: OutcomeEntry, from: string): void;
  appendSettled(ctx: RouterContext, event: AppendSettled): void;
  logRead(ctx: RouterContext, event: LogRead): void;
  logReadFailed(ctx: RouterContext): void;
  expire(ctx: RouterContext): void;
  /** Appends what is due. */
  flush(ctx: RouterContext): void;
}

/** Creates a recorder that does not follow its partition yet. */
export function createPartitionRecorder(
  cfg: ClaimsConfig,
  partition: number,
  reply: RecorderReply,
): PartitionRecorder {
  const stream = partitionStream(partition);
  const fold = createPartitionFold(cfg.clockToleranceMs);
  const batcher = createAppendBatcher(cfg, stream);
  let tailing = false;
  /** The stream has been read since the tail started. */
  let fresh = false;
  let usedMs = 0;
  let nextPruneMs = 0;

  function submit(ctx: RouterContext, claim: ClaimEntry, from: string): void {
    follow(ctx);
    // What was read before a break in following may have changed since.
    if (fresh) {
      const decided = fold.verdict(claim, ctx.nowMs);
      if (decided) return decide(ctx, claim, from, decided, traceOf(decided));
      const foregone = fold.verdictWithoutAppend(claim, ctx.nowMs);
      if (foregone) return decide(ctx, claim, from, foregone, 'absent');
    }
    batcher.add(ctx, claim, from, ctx.nowMs + claim.timeoutMs);
  }

  function report(
    ctx: RouterContext,
    outcome: OutcomeEntry,
    from: string,
  ): void {
    if (fold.recorded(outcome)) return receipt(ctx, outcome, from);
    batcher.add(ctx, outcome, from, ctx.nowMs + OUTCOME_KEEP_MS);
    follow(ctx);
  }

  function follow(ctx: RouterContext): void {
    usedMs = ctx.nowMs;
    if (tailing) return;
    tailing = true;
    ctx.emit({kind: 'tail', stream, from: fold.next()});
  }

  function appendSettled(ctx: RouterContext, event: AppendSettled): void {
    if (!batcher.settled(ctx, event)) return;
    if (event.result === 'not_appended') refuseStale(ctx);
  }

  function logRead(ctx: RouterContext, event: LogRead): void {
    if (event.stream !== stream) return;
    fresh = tailing;
    const {trimmed, malformed} = fold.read(event, ctx.nowMs);
    if (trimmed) {
      const fields = {stream, earliest: event.earliest};
      ctx.emit({kind: 'write_log', event: 'WL3003', fields});
    }
    for (const offset of malformed) {
      const fields = {stream, offset, error: 'malformed_record'};
      ctx.emit({kind: 'write_log', event: 'WL2003', fields});
    }
    for (const pending of [...batcher.pending()]) answer(ctx, pending);
  }

  function answer(ctx: RouterContext, pending: PendingEntry): void {
    const {entry, waiting} = pending;
    if (entry.type === 'outcome') {
      if (!fold.recorded(entry)) return;
      batcher.remove(entry);
      for (const to of waiting) receipt(ctx, entry, to);
      return;
    }
    const verdict = fold.verdict(entry, ctx.nowMs);
    if (!verdict) return;
    batcher.remove(entry);
    for (const to of waiting) {
      decide(ctx, entry, to, verdict, traceOf(verdict));
    }
  }

  function logReadFailed(ctx: RouterContext): void {
    refuseStale(ctx);
  }

  /** Without the log there is no verdict, so waiting claims are refused. */
  function refuseStale(ctx: RouterContext): void {
    for (const pending of [...batcher.pending()]) {
      const {entry, waiting, phase, maybeAppended, arrivedMs} = pending;
      if (entry.type !== 'claim') continue;
      if (ctx.nowMs - arrivedMs < OUTAGE_PATIENCE_MS) continue;
      batcher.remove(entry);
      const trace = phase === 'sent' || maybeAppended ? 'possible' : 'absent';
      for (const to of waiting) decide(ctx, entry, to, 'unavailable', trace);
    }
  }

  function decide(
    ctx: RouterContext,
    {claimId}: ClaimEntry,
    to: string,
    verdict: ClaimVerdict,
    trace: ClaimLogState,
  ): void {
    reply(ctx, to, {kind: 'claim_decision', claimId, verdict, trace});
  }

  function receipt(
    ctx: RouterContext,
    {claimId}: OutcomeEntry,
    to: string,
  ): void {
    reply(ctx, to, {kind: 'outcome_receipt', claimId});
  }

  function expire(ctx: RouterContext): void {
    for (const pending of [...batcher.pending()]) {
      if (ctx.nowMs >= pending.expiresMs) batcher.remove(pending.entry);
    }
    if (batcher.size() > 0) usedMs = ctx.nowMs;
    if (tailing && ctx.nowMs - usedMs >= TAIL_IDLE_MS) {
      tailing = false;
      fresh = false;
      ctx.emit({kind: 'stop_tail', stream});
    }
    if (ctx.nowMs < nextPruneMs) return;
    nextPruneMs = ctx.nowMs + PRUNE_INTERVAL_MS;
    // A router whose clock is behind may still accept keys somewhat older
    // than the limit.
    fold.prune(ctx.wallMs - cfg.keyMaxAgeMs - 2 * cfg.clockToleranceMs);
  }

  return {
    submit,
    report,
    appendSettled,
    logRead,
    logReadFailed,
    expire,
    flush: ctx => batcher.flush(ctx, fold.next()),
  };
}

/** What the log holds of a claim that has been read with this verdict. */
function traceOf(verdict: ClaimVerdict): ClaimLogState {
  return verdict === 'granted' || verdict === 'expired' ? 'possible' : 'lost';
}
