import type {RouterContext} from '../router/router_context.js';
import type {AppendSettled} from '../router/events/append_settled.js';
import type {LogStream} from '../types/log_stream.js';
import type {ClaimBatch} from './claim_batch.js';
import type {ClaimsConfig} from './claims_config.js';
import type {PendingEntry} from './pending_entry.js';
import type {StreamEntry} from './stream_entry.js';

/** Limits the appends of all partitions together to 160 a second. */
const APPEND_INTERVAL_MS = 100;
/** Delay after a refused append, so that an outage does not cause a burst. */
const REFUSED_WAIT_MS = 250;
/** Keeps a log record well under 100 KB. */
const MAX_BATCH_ENTRIES = 200;

/** Batches the entries of one partition, so that few appends are needed. */
export interface AppendBatcher {
  /** Adds an entry, or another router to those that wait for it. */
  add(
    ctx: RouterContext,
    entry: StreamEntry,
    from: string,
    expiresMs: number,
  ): void;
  pending(): Iterable<PendingEntry>;
  size(): number;
  remove(entry: StreamEntry): void;
  /** Handles the result of an append; false if another component sent it. */
  settled(ctx: RouterContext, event: AppendSettled): boolean;
  /** Appends the queued entries, unless the interval has not passed yet. */
  flush(ctx: RouterContext, base: number): void;
}

/** Creates a batcher without entries. */
export function createAppendBatcher(
  cfg: ClaimsConfig,
  stream: LogStream,
): AppendBatcher {
  const entries = new Map<string, PendingEntry>();
  const appends = new Map<string, PendingEntry[]>();
  let nextAppendMs = -Infinity;
  let appendCount = 0;

  function add(
    ctx: RouterContext,
    entry: StreamEntry,
    from: string,
    expiresMs: number,
  ): void {
    const known = entries.get(entryId(entry));
    if (known) {
      known.waiting.add(from);
      known.expiresMs = Math.max(known.expiresMs, expiresMs);
      return;
    }
    entries.set(entryId(entry), {
      entry,
      waiting: new Set([from]),
      phase: 'queued',
      maybeAppended: false,
      arrivedMs: ctx.nowMs,
      expiresMs,
    });
  }

  function settled(ctx: RouterContext, event: AppendSettled): boolean {
    const batch = appends.get(event.appendId);
    if (!batch) return false;
    appends.delete(event.appendId);
    if (event.result === 'not_appended') {
      nextAppendMs = Math.max(nextAppendMs, ctx.nowMs + REFUSED_WAIT_MS);
    }
    for (const pending of batch) {
      if (event.result !== 'not_appended') pending.maybeAppended = true;
      // Appending an entry twice is safe: readers deduplicate by claim id.
      if (event.result !== 'appended') pending.phase = 'queued';
    }
    return true;
  }

  function flush(ctx: RouterContext, base: number): void {
    if (ctx.nowMs < nextAppendMs) return;
    const batch = queued();
    if (batch.length === 0) return;
    nextAppendMs = ctx.nowMs + APPEND_INTERVAL_MS;
    const data: ClaimBatch = {
      type: 'claims',
      recorder: cfg.address,
      incarnation: cfg.incarnation,
      wallMs: ctx.wallMs,
      base,
      entries: batch.map(pending => pending.entry),
    };
    for (const pending of batch) pending.phase = 'sent';
    const appendId = `${stream}-${appendCount++}`;
    appends.set(appendId, batch);
    ctx.emit({kind: 'append', appendId, stream, data: JSON.stringify(data)});
    ctx.emit({
      kind: 'observe',
      metric: 'claim_appends_total',
      labels: {},
      value: 1,
    });
  }

  function queued(): PendingEntry[] {
    const batch: PendingEntry[] = [];
    for (const pending of entries.values()) {
      if (pending.phase === 'queued') batch.push(pending);
      if (batch.length === MAX_BATCH_ENTRIES) break;
    }
    return batch;
  }

  return {
    add,
    pending: () => entries.values(),
    size: () => entries.size,
    remove: entry => entries.delete(entryId(entry)),
    settled,
    flush,
  };
}

function entryId(entry: StreamEntry): string {
  return `${entry.type}:${entry.claimId}`;
}
