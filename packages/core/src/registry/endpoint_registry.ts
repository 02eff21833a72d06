import type {EndpointEntry} from './endpoint_entry.js';
import type {EntryChange} from './entry_change.js';
import type {RegisteredEndpoint} from './registered_endpoint.js';

/** Time for which ids of endpoints that are gone are kept. */
const GONE_RETENTION_MS = 600_000;

/** Registered endpoints, and records of those that are gone. */
export interface EndpointRegistry {
  /** Applies a change; returns whether the usable endpoints changed. */
  apply(nowMs: number, change: EntryChange): boolean;
  /** Applies a full listing; ids that it does not contain are gone. */
  replaceAll(nowMs: number, changes: EntryChange[]): boolean;
  /**
   * Records that one start of an endpoint is leaving, which is final for it.
   * @returns whether the usable endpoints changed
   */
  markLeaving(nowMs: number, id: string, startedAtMs: number): boolean;
  /**
   * The store was unreachable until now and may have dropped live endpoints.
   * Entries that it drops stay usable until the given time.
   */
  retainMissingUntil(untilMs: number): void;
  /** Applies timeouts; returns removals of entries no longer retained. */
  expire(nowMs: number): EntryChange[];
  /** Endpoints of a service that may take new work. */
  usable(service: string): EndpointEntry[];
  get(id: string): RegisteredEndpoint | undefined;
  /** Everything that is not gone. */
  entries(): EndpointEntry[];
}

/** Creates an empty registry. */
export function createEndpointRegistry(): EndpointRegistry {
  const byId = new Map<string, RegisteredEndpoint>();
  let byService = new Map<string, EndpointEntry[]>();
  let retainMissingUntilMs = Number.NEGATIVE_INFINITY;

  function apply(nowMs: number, change: EntryChange): boolean {
    const changed = applyOne(nowMs, change);
    if (changed) regroup();
    return changed;
  }

  function replaceAll(nowMs: number, changes: EntryChange[]): boolean {
    const listed = new Set(changes.map(({id}) => id));
    let changed = false;
    for (const id of byId.keys()) {
      if (!listed.has(id)) changed = remove(nowMs, id) || changed;
    }
    for (const change of changes) changed = applyOne(nowMs, change) || changed;
    if (changed) regroup();
    return changed;
  }

  function applyOne(nowMs: number, change: EntryChange): boolean {
    if (change.unreadable) return markUnreadable(change.id);
    if (!change.entry) return remove(nowMs, change.id);
    return register(nowMs, change.entry);
  }

  function register(nowMs: number, entry: EndpointEntry): boolean {
    const known = byId.get(entry.id);
    if (!known || known.entry.startedAtMs !== entry.startedAtMs) {
      // A late record of an earlier start is ignored.
      if (known && entry.startedAtMs < known.entry.startedAtMs) return false;
      byId.set(entry.id, {entry, state: entry.state, sinceMs: nowMs});
      return true;
    }
    if (entry.sequence < known.entry.sequence) return false;
    const repeated = entry.sequence === known.entry.sequence;
    if (known.state === 'gone' && repeated) return false;
    const before = known.state;
    // Also if it was removed since: it is the same start of the endpoint.
    const wasLeaving = known.entry.state === 'leaving';
    const leaving = wasLeaving || entry.state === 'leaving';
    const moved = known.entry.address !== entry.address;
    known.entry = leaving ? {...entry, state: 'leaving'} : entry;
    known.state = known.entry.state;
    if (before !== known.state) known.sinceMs = nowMs;
    return before !== known.state || moved;
  }

  function remove(nowMs: number, id: string): boolean {
    const known = byId.get(id);
    if (!known || known.state === 'gone' || known.state === 'missing') {
      return false;
    }
    const retained = nowMs < retainMissingUntilMs && known.state === 'ready';
    known.state = retained ? 'missing' : 'gone';
    known.sinceMs = nowMs;
    return !retained;
  }

  function markLeaving(
    nowMs: number,
    id: string,
    startedAtMs: number,
  ): boolean {
    const known = byId.get(id);
    if (known?.entry.startedAtMs !== startedAtMs) return false;
    if (known.entry.state === 'leaving') return false;
    known.entry = {...known.entry, state: 'leaving'};
    if (known.state === 'gone') return false;
    known.state = 'leaving';
    known.sinceMs = nowMs;
    regroup();
    return true;
  }

  function markUnreadable(id: string): boolean {
    const known = byId.get(id);
    if (known?.state !== 'ready' && known?.state !== 'missing') {
      return false;
    }
    known.state = 'unreadable';
    return true;
  }

  function expire(nowMs: number): EntryChange[] {
    const gone: EntryChange[] = [];
    for (const [id, known] of byId) {
      const ageMs = nowMs - known.sinceMs;
      if (known.state === 'missing' && nowMs >= retainMissingUntilMs) {
        known.state = 'gone';
        known.sinceMs = nowMs;
        gone.push({id, entry: undefined, unreadable: false});
      } else if (known.state === 'gone' && ageMs >= GONE_RETENTION_MS) {
        byId.delete(id);
      }
    }
    if (gone.length > 0) regroup();
    return gone;
  }

  function regroup(): void {
    byService = new Map();
    for (const {entry, state} of byId.values()) {
      if (state !== 'ready' && state !== 'missing') continue;
      const group = byService.get(entry.service);
      if (group) group.push(entry);
      else byService.set(entry.service, [entry]);
    }
  }

  return {
    apply,
    replaceAll,
    markLeaving,
    retainMissingUntil: untilMs => {
      retainMissingUntilMs = untilMs;
    },
    expire,
    usable: service => byService.get(service) ?? [],
    get: id => byId.get(id),
    entries: () =>
      [...byId.values()]
        .filter(({state}) => state !== 'gone')
        .map(({entry}) => entry),
  };
}
