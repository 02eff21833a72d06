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
import type {ReplyToOwner} from './reply_to_owner.js';

/** A claim that the log has refused for this long is rejected as not run. */
const OUTAGE_TIMEOUT_MS = 1_000;
/** The owner resends an outcome that is dropped after this time. */
const OUTCOME_RETENTION_MS = 10_000;
/** The tail of a partition without pending entries stops after this time. */
const TAIL_IDLE_MS = 30_000;
const PRUNE_INTERVAL_MS = 10_000;

/** Records the claims of one partition and decides them in log order. */
export interface PartitionRecorder {
  submit(ctx: RouterContext, claim: ClaimEntry, from: string): void;
  report(ctx: RouterContext, outcome: OutcomeEntry, from: string): void;
  appendSettled(ctx: RouterContext, event: AppendSettled): void;
  logRead(ctx: RouterContext, event: LogRead): void;
  logReadFailed(ctx: RouterContext): void;
  expire(ctx: RouterContext): void;
  /** Appends pending entries that are due. */
  flush(ctx: RouterContext): void;
}

/** Creates a recorder that does not tail its partition yet. */
export function createPartitionRecorder(
  cfg: ClaimsConfig,
  partition: number,
  reply: ReplyToOwner,
): PartitionRecorder {
  const stream = partitionStream(partition);
  const fold = createPartitionFold(cfg.clockToleranceMs);
  const batcher = createAppendBatcher(cfg, stream);
  let tailing = false;
  /** Whether the stream has been read since the tail started. */
  let readSinceTail = false;
  let lastUsedMs = 0;
  let nextPruneMs = 0;

  function submit(ctx: RouterContext, claim: ClaimEntry, from: string): void {
    ensureTailing(ctx);
    // State read before the tail was last stopped may be stale.
    if (readSinceTail) {
      const knownVerdict = fold.verdict(claim, ctx.nowMs);
      if (knownVerdict) {
        const logState = logStateOf(knownVerdict);
        return decide(ctx, claim, from, knownVerdict, logState);
      }
      const earlyVerdict = fold.verdictWithoutAppend(claim, ctx.nowMs);
      if (earlyVerdict) return decide(ctx, claim, from, earlyVerdict, 'absent');
    }
    batcher.add(ctx, claim, from, ctx.nowMs + claim.timeoutMs);
  }

  function report(
    ctx: RouterContext,
    outcome: OutcomeEntry,
    from: string,
  ): void {
    if (fold.hasOutcome(outcome)) return acknowledge(ctx, outcome, from);
    batcher.add(ctx, outcome, from, ctx.nowMs + OUTCOME_RETENTION_MS);
    ensureTailing(ctx);
  }

  function ensureTailing(ctx: RouterContext): void {
    lastUsedMs = ctx.nowMs;
    if (tailing) return;
    tailing = true;
    ctx.emit({kind: 'tail', stream, from: fold.nextOffset()});
  }

  function appendSettled(ctx: RouterContext, event: AppendSettled): void {
    if (!batcher.settled(ctx, event)) return;
    if (event.result === 'not_appended') refuseOverdueClaims(ctx);
  }

  function logRead(ctx: RouterContext, event: LogRead): void {
    if (event.stream !== stream) return;
    readSinceTail = tailing;
    const {trimmed, malformed} = fold.read(event, ctx.nowMs);
    if (trimmed) {
      const fields = {stream, earliest: event.earliest};
      ctx.emit({kind: 'write_log', event: 'WL3003', fields});
    }
    for (const offset of malformed) {
      const fields = {stream, offset, error: 'malformed_record'};
      ctx.emit({kind: 'write_log', event: 'WL2003', fields});
    }
    for (const pending of [...batcher.pending()]) answerIfRead(ctx, pending);
  }

  function answerIfRead(ctx: RouterContext, pending: PendingEntry): void {
    const {entry, waiting} = pending;
    if (entry.type === 'outcome') {
      if (!fold.hasOutcome(entry)) return;
      batcher.remove(entry);
      for (const to of waiting) acknowledge(ctx, entry, to);
      return;
    }
    const verdict = fold.verdict(entry, ctx.nowMs);
    if (!verdict) return;
    batcher.remove(entry);
    for (const to of waiting) {
      decide(ctx, entry, to, verdict, logStateOf(verdict));
    }
  }

  function logReadFailed(ctx: RouterContext): void {
    refuseOverdueClaims(ctx);
  }

  /** Refuses claims that have waited too long; only the log can decide them. */
  function refuseOverdueClaims(ctx: RouterContext): void {
    for (const pending of [...batcher.pending()]) {
      const {entry, waiting, phase, maybeAppended, arrivedMs} = pending;
      if (entry.type !== 'claim') continue;
      if (ctx.nowMs - arrivedMs < OUTAGE_TIMEOUT_MS) continue;
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

  function acknowledge(
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
    if (batcher.size() > 0) lastUsedMs = ctx.nowMs;
    if (tailing && ctx.nowMs - lastUsedMs >= TAIL_IDLE_MS) {
      tailing = false;
      readSinceTail = false;
      ctx.emit({kind: 'stop_tail', stream});
    }
    if (ctx.nowMs < nextPruneMs) return;
    nextPruneMs = ctx.nowMs + PRUNE_INTERVAL_MS;
    // A router whose clock is behind may still accept keys slightly older
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
    flush: ctx => batcher.flush(ctx, fold.nextOffset()),
  };
}

/** Returns the log state of a claim that has been read with this verdict. */
function logStateOf(verdict: ClaimVerdict): ClaimLogState {
  return verdict === 'granted' || verdict === 'expired' ? 'possible' : 'lost';
}
