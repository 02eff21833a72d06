import type {GatewayContext} from '../gateway/gateway_context.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import type {QuarantineGossip} from './quarantine_gossip.js';
import type {VerdictSource} from './verdict_source.js';
import type {QuarantineEntry} from './quarantine_entry.js';
import type {QuarantineList} from './quarantine_list.js';
import type {RequestEnds} from './request_ends.js';

/** Pause between two messages of the verdicts, and two attempts to save. */
const SYNC_INTERVAL_MS = 1_000;
const MAX_ENTRIES_PER_MESSAGE = 12;
/** Changes that a peer may have missed are repeated out of turn for so long. */
const NEW_FOR_MS = 3_000;
/** Names in a message, in characters; a message is one datagram. */
const MAX_NAMES_LENGTH = 32_768;

/** Dependencies of the exchange. */
export interface QuarantineSyncParts {
  list: QuarantineList;
  ends: Pick<RequestEnds, 'recent'>;
  gossip: QuarantineGossip;
  isReader(nowMs: number): boolean;
  storeReachable(): boolean;
  adopt(
    ctx: GatewayContext,
    entry: QuarantineEntry,
    source: VerdictSource,
  ): void;
}

/**
 * Creates the exchange of verdicts with the store and with peers. All read
 * them once at their start; the one that speaks to the store for the fleet
 * saves them, and repeats them for peers that missed some. It reads them again
 * when it becomes the reader, as it may have been cut off. A peer that knows
 * of a later verdict than it repeats sends that one back.
 */
export function createQuarantineSync(
  parts: QuarantineSyncParts,
): GatewayFeature {
  const {list, ends, gossip} = parts;
  let stage: 'unread' | 'read' = 'unread';
  let lastSyncMs = Number.NEGATIVE_INFINITY;
  let nextEntry = 0;
  let wasReading = false;

  function expire(ctx: GatewayContext): void {
    if (ctx.nowMs - lastSyncMs < SYNC_INTERVAL_MS) return;
    lastSyncMs = ctx.nowMs;
    const isReading = parts.isReader(ctx.nowMs) && parts.storeReachable();
    if (isReading && !wasReading) stage = 'unread';
    wasReading = isReading;
    if (stage === 'unread') {
      ctx.emit({kind: 'read_store', call: 'quarantine', fromOffset: undefined});
    }
    if (!parts.isReader(ctx.nowMs)) return;
    repeatEnds(ctx);
    const entries = list.all();
    if (entries.length === 0) return;
    repeat(ctx, entries);
    if (!parts.storeReachable()) return;
    for (const entry of list.unsaved().slice(0, MAX_ENTRIES_PER_MESSAGE)) {
      ctx.emit({kind: 'save_quarantine', entry});
    }
  }

  /** Engines that ended under requests without a verdict. */
  function repeatEnds(ctx: GatewayContext): void {
    const endedEngines = ends.recent(ctx.nowMs);
    if (endedEngines.length > 0) gossip.tell(ctx, {endedEngines});
  }

  /** Entries that fit into one message, at least one. */
  function firstEntries(entries: QuarantineEntry[]): QuarantineEntry[] {
    let length = 0;
    const fitting = entries.findIndex((entry, i) => {
      length += namesLength(entry);
      return i > 0 && length > MAX_NAMES_LENGTH;
    });
    const count = fitting < 0 ? entries.length : fitting;
    return entries.slice(0, Math.min(count, MAX_ENTRIES_PER_MESSAGE));
  }

  /** Sends some entries, and the next ones the next time. */
  function repeat(ctx: GatewayContext, entries: QuarantineEntry[]): void {
    if (nextEntry >= entries.length) nextEntry = 0;
    const sent = firstEntries(entries.slice(nextEntry));
    nextEntry += sent.length;
    tell(ctx, sent);
    const newest = entries.filter(
      entry =>
        ctx.wallMs - entry.changedAtMs < NEW_FOR_MS && !sent.includes(entry),
    );
    if (newest.length > 0) tell(ctx, firstEntries(newest));
  }

  /** Tells a peer of verdicts that are later than those it repeats. */
  function correct(
    ctx: GatewayContext,
    peer: string,
    repeated: QuarantineEntry[],
  ): void {
    const later = repeated.flatMap(({cause, changedAtMs}) => {
      const known = list.get(cause);
      return known && known.changedAtMs > changedAtMs ? [known] : [];
    });
    if (later.length > 0) gossip.tellVerdicts(ctx, later, false, peer);
  }

  function tell(ctx: GatewayContext, entries: QuarantineEntry[]): void {
    const unsaved = new Set(list.unsaved());
    const saved = !entries.some(entry => unsaved.has(entry));
    gossip.tellVerdicts(ctx, entries, saved);
  }

  return {
    handlers: {
      quarantine_read: (ctx, {entries}) => {
        stage = 'read';
        for (const entry of entries) {
          parts.adopt(ctx, entry, 'store');
          if (list.get(entry.cause)) list.saved(entry);
        }
      },
      quarantine_saved: (_ctx, {entry}) => list.saved(entry),
      peer_received: (ctx, {from, message}) => {
        if (message.kind !== 'quarantine_news') return;
        correct(ctx, from, message.entries);
        for (const entry of message.entries) {
          parts.adopt(ctx, entry, 'peer');
          if (message.saved && list.get(entry.cause)) list.saved(entry);
        }
      },
    },
    expire,
  };
}

function namesLength({cause, companions}: QuarantineEntry): number {
  return companions.reduce((sum, name) => sum + name.length, cause.length);
}
