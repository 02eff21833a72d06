import type {AppendSettled} from '../router/events/append_settled.js';
import type {LogRead} from '../router/events/log_read.js';
import {createContention} from './contention.js';
import type {Lease} from './lease.js';
import type {LeaseConfig} from './lease_config.js';
import type {LeaseContext} from './lease_context.js';
import {createLeaseFold} from './lease_fold.js';
import type {LeaseHold} from './lease_hold.js';
import type {LeaseRecord} from './lease_record.js';
import {
  RELEASE_TIMEOUT_MS,
  RENEW_FRACTION,
  RETRY_FRACTION,
} from './lease_timing.js';
import type {LeaseVerdict} from './lease_verdict.js';

/** Creates the lease of a process that holds nothing yet. */
export function createLease(cfg: LeaseConfig): Lease {
  const fold = createLeaseFold();
  const contention = createContention(cfg.durationMs);
  /** Send times, by id, of own appends that may still take effect. */
  const sentAppends = new Map<string, number>();
  let sequence = 0;
  let held: LeaseHold | undefined;
  let renewDueMs = 0;
  let nextTryMs = 0;
  let stage: 'running' | 'releasing' | 'released' = 'running';
  let releaseUntilMs = 0;

  function hold(nowMs: number): LeaseHold | undefined {
    return held && nowMs < held.validUntilMs ? held : undefined;
  }

  function expire(ctx: LeaseContext): void {
    if (held && ctx.nowMs >= held.validUntilMs) lose(ctx, 'expired');
    for (const [id, sentMs] of sentAppends) {
      if (ctx.nowMs - sentMs >= cfg.durationMs) sentAppends.delete(id);
    }
  }

  function lose(ctx: LeaseContext, reason: string): void {
    if (!held) return;
    const {token} = held;
    held = undefined;
    reportState(ctx, reason, token);
  }

  function reportState(ctx: LeaseContext, state: string, token: number): void {
    ctx.emit({
      kind: 'write_log',
      event: 'WL6003',
      fields: {state, token, holder: cfg.holder},
    });
    ctx.emit({
      kind: 'observe',
      metric: 'lease_held',
      labels: {},
      value: held ? 1 : 0,
    });
  }

  function logRead(ctx: LeaseContext, event: LogRead): void {
    if (event.stream !== 'lease') return;
    const {gap, verdicts} = fold.read(event);
    if (gap) {
      // A newer lease may be among the missed records.
      lose(ctx, 'records_missed');
      contention.recordRead(ctx.nowMs, cfg.durationMs);
    }
    for (const verdict of verdicts) applyVerdict(ctx, verdict);
    contention.setCaughtUp(fold.nextOffset() >= event.end);
  }

  function applyVerdict(ctx: LeaseContext, verdict: LeaseVerdict): void {
    const {record, state, offset} = verdict;
    if (!record) {
      const fields = {stream: 'lease', offset, error: 'malformed_record'};
      ctx.emit({kind: 'write_log', event: 'WL2003', fields});
      return;
    }
    const sentMs = sentAppends.get(record.id);
    sentAppends.delete(record.id);
    if (state === 'invalid') return;
    contention.recordRead(ctx.nowMs, leaseDurationMs(record));
    if (record.type === 'release') {
      if (stage === 'releasing' && record.holder === cfg.holder) {
        stage = 'released';
      }
    } else if (state === 'valid' && sentMs !== undefined) {
      ownRecordRead(ctx, verdict.offset, record, sentMs);
    } else if (record.holder !== cfg.holder) {
      lose(ctx, 'superseded');
    }
  }

  function ownRecordRead(
    ctx: LeaseContext,
    offset: number,
    record: LeaseRecord,
    sentMs: number,
  ): void {
    if (stage !== 'running') return;
    const validUntilMs = sentMs + cfg.durationMs;
    if (record.type === 'renew') {
      // A renewal read back after the lease expired does not revive it.
      if (held?.token === record.token) held = {...held, validUntilMs};
    } else if (ctx.nowMs < validUntilMs) {
      held = {token: offset, validUntilMs};
      reportState(ctx, 'acquired', offset);
    }
    renewDueMs = sentMs + cfg.durationMs * RENEW_FRACTION;
  }

  function appendSettled(event: AppendSettled): void {
    if (event.result === 'not_appended') sentAppends.delete(event.appendId);
  }

  function settle(ctx: LeaseContext): void {
    const {nowMs} = ctx;
    if (stage !== 'running') return;
    if (hold(nowMs)) {
      if (nowMs >= renewDueMs && nowMs >= nextTryMs) renew(ctx);
      return;
    }
    if (!contention.shouldTry(ctx, fold.isFree()) || nowMs < nextTryMs) return;
    const {durationMs} = cfg;
    append(ctx, {type: 'acquire', durationMs, ...recordHeader()});
  }

  function renew(ctx: LeaseContext): void {
    if (!held) return;
    const {durationMs} = cfg;
    const {token} = held;
    append(ctx, {type: 'renew', durationMs, token, ...recordHeader()});
  }

  function recordHeader(): {id: string; holder: string; base: number} {
    sequence += 1;
    const id = `${cfg.holder}/${sequence}`;
    return {id, holder: cfg.holder, base: fold.nextOffset() - 1};
  }

  /** Each append has its own id, so that its send time is unambiguous. */
  function append(ctx: LeaseContext, record: LeaseRecord): void {
    const retryMs = cfg.durationMs * RETRY_FRACTION;
    nextTryMs = ctx.nowMs + retryMs * (1 + ctx.random());
    sentAppends.set(record.id, ctx.nowMs);
    ctx.emit({
      kind: 'append',
      appendId: record.id,
      stream: 'lease',
      data: JSON.stringify(record),
    });
  }

  function release(ctx: LeaseContext): void {
    if (stage !== 'running') return;
    const current = hold(ctx.nowMs);
    stage = current ? 'releasing' : 'released';
    if (!current) return;
    lose(ctx, 'released');
    append(ctx, {type: 'release', token: current.token, ...recordHeader()});
    const {validUntilMs} = current;
    releaseUntilMs = Math.min(validUntilMs, ctx.nowMs + RELEASE_TIMEOUT_MS);
  }

  function leaseDurationMs(record: LeaseRecord): number {
    if (record.type === 'release') return cfg.durationMs;
    return Math.max(cfg.durationMs, record.durationMs);
  }

  return {
    hold,
    start: ctx => ctx.emit({kind: 'tail', stream: 'lease', from: 0}),
    expire,
    logRead,
    logReadFailed: event => {
      if (event.stream === 'lease') contention.setCaughtUp(false);
    },
    appendSettled,
    settle,
    abandon: lose,
    release,
    released: nowMs =>
      stage === 'released' ||
      (stage === 'releasing' && nowMs >= releaseUntilMs),
  };
}
