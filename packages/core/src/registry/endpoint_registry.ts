import type {EndpointEntry} from './endpoint_entry.js';
import type {EntryChange} from './entry_change.js';
import type {RegisteredEndpoint} from './registered_endpoint.js';

/** After this, an id that has gone is no longer remembered. */
const REMEMBER_GONE_MS = 600_000;

/** The endpoints that are registered, and what is known of those that left. */
export interface EndpointRegistry {
  /** Takes one change over; true if the usable endpoints changed. */
  apply(nowMs: number, change: EntryChange): boolean;
  /** Takes a whole listing over; ids that it lacks are gone. */
  list(nowMs: number, changes: EntryChange[]): boolean;
  /**
   * The store was out of reach until now, and may have dropped endpoints that
   * live. Until the given time, entries that it drops stay usable.
   */
  forgiveUntil(untilMs: number): void;
  /** Judges what is due; returns what is no longer forgiven. */
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
  let forgiveUntilMs = Number.NEGATIVE_INFINITY;

  function apply(nowMs: number, change: EntryChange): boolean {
    const changed = take(nowMs, change);
    if (changed) regroup();
    return changed;
  }

  function list(nowMs: number, changes: EntryChange[]): boolean {
    const listed = new Set(changes.map(({id}) => id));
    let changed = false;
    for (const id of byId.keys()) {
      if (!listed.has(id)) changed = drop(nowMs, id) || changed;
    }
    for (const change of changes) changed = take(nowMs, change) || changed;
    if (changed) regroup();
    return changed;
  }

  function take(nowMs: number, change: EntryChange): boolean {
    if (change.unreadable) return obscure(change.id);
    if (!change.entry) return drop(nowMs, change.id);
    return register(nowMs, change.entry);
  }

  function register(nowMs: number, entry: EndpointEntry): boolean {
    const known = byId.get(entry.id);
    if (!known || known.entry.startedAtMs !== entry.startedAtMs) {
      // A late record of an earlier start.
      if (known && entry.startedAtMs < known.entry.startedAtMs) return false;
      byId.set(entry.id, {entry, standing: entry.state, sinceMs: nowMs});
      return true;
    }
    if (entry.sequence < known.entry.sequence) return false;
    const stale = entry.sequence === known.entry.sequence;
    if (known.standing === 'gone' && stale) return false;
    const before = known.standing;
    const leaves = before === 'leaving' || entry.state === 'leaving';
    const moved = known.entry.address !== entry.address;
    known.entry = leaves ? {...entry, state: 'leaving'} : entry;
    known.standing = known.entry.state;
    if (before !== known.standing) known.sinceMs = nowMs;
    return before !== known.standing || moved;
  }

  function drop(nowMs: number, id: string): boolean {
    const known = byId.get(id);
    if (!known || known.standing === 'gone' || known.standing === 'missing') {
      return false;
    }
    const forgiven = nowMs < forgiveUntilMs && known.standing === 'ready';
    known.standing = forgiven ? 'missing' : 'gone';
    known.sinceMs = nowMs;
    return !forgiven;
  }

  function obscure(id: string): boolean {
    const known = byId.get(id);
    if (known?.standing !== 'ready' && known?.standing !== 'missing') {
      return false;
    }
    known.standing = 'unreadable';
    return true;
  }

  function expire(nowMs: number): EntryChange[] {
    const gone: EntryChange[] = [];
    for (const [id, known] of byId) {
      const ageMs = nowMs - known.sinceMs;
      if (known.standing === 'missing' && nowMs >= forgiveUntilMs) {
        known.standing = 'gone';
        known.sinceMs = nowMs;
        gone.push({id, entry: undefined, unreadable: false});
      } else if (known.standing === 'gone' && ageMs >= REMEMBER_GONE_MS) {
        byId.delete(id);
      }
    }
    if (gone.length > 0) regroup();
    return gone;
  }

  function regroup(): void {
    byService = new Map();
    for (const {entry, standing} of byId.values()) {
      if (standing !== 'ready' && standing !== 'missing') continue;
      const group = byService.get(entry.service);
      if (group) group.push(entry);
      else byService.set(entry.service, [entry]);
    }
  }

  return {
    apply,
    list,
    forgiveUntil: untilMs => {
      forgiveUntilMs = untilMs;
    },
    expire,
    usable: service => byService.get(service) ?? [],
    get: id => byId.get(id),
    entries: () =>
      [...byId.values()]
        .filter(({standing}) => standing !== 'gone')
        .map(({entry}) => entry),
  };
}
