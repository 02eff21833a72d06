import type {ChangeSource} from './change_source.js';
import type {EndpointEntry} from './endpoint_entry.js';
import type {EntryChange} from './entry_change.js';
import {listedChange} from './listed_change.js';
import type {RegisteredEndpoint} from './registered_endpoint.js';
import {summarize, type RegistrySummary} from './registry_summary.js';
import {updateRegistration} from './update_registration.js';
import {usableByService} from './usable_by_service.js';

/** Time for which ids of endpoints that are gone are kept. */
const GONE_RETENTION_MS = 600_000;

/** Registered endpoints, and records of those that are gone. */
export interface EndpointRegistry {
  /**
   * Applies a change unless a record of the id that is as new has been applied.
   * @returns whether the usable endpoints changed
   */
  apply(nowMs: number, change: EntryChange, source: ChangeSource): boolean;
  /**
   * Applies a full listing; ids that it does not contain are gone, unless a
   * record from `nextOffset` on says otherwise.
   * @returns the changes of the usable endpoints
   */
  replaceAll(
    nowMs: number,
    changes: EntryChange[],
    nextOffset: number,
  ): EntryChange[];
  /**
   * Records that one start of an endpoint is leaving, which is final for it.
   * @returns whether the usable endpoints changed
   */
  markLeaving(nowMs: number, id: string, startedAtMs: number): boolean;
  /**
   * The store was unreachable and may have dropped live endpoints. Those that
   * this gateway finds dropped stay usable until the given time.
   */
  retainMissingUntil(untilMs: number): void;
  /** Applies timeouts; returns removals of entries no longer retained. */
  expire(nowMs: number): EntryChange[];
  /** Endpoints of a service that may take new work. */
  usable(service: string): EndpointEntry[];
  get(id: string): RegisteredEndpoint | undefined;
  /** Everything that is not gone. */
  entries(): EndpointEntry[];
  /**
   * Everything that is not gone, as changes of an empty registry, with the
   * warm-ups that remain now.
   */
  listing(nowMs: number): EntryChange[];
  summary(): RegistrySummary;
}

/** Creates an empty registry. */
export function createEndpointRegistry(): EndpointRegistry {
  const byId = new Map<string, RegisteredEndpoint>();
  let byService = new Map<string, EndpointEntry[]>();
  let retainMissingUntilMs = Number.NEGATIVE_INFINITY;

  function apply(
    nowMs: number,
    change: EntryChange,
    source: ChangeSource,
  ): boolean {
    const changed = applyOne(nowMs, change, source);
    if (changed) regroup();
    return changed;
  }

  function replaceAll(
    nowMs: number,
    changes: EntryChange[],
    nextOffset: number,
  ): EntryChange[] {
    const listed = new Set(changes.map(({id}) => id));
    // The listing does not tell which record removed an id.
    const offset = nextOffset - 1;
    const removals = [...byId.keys()]
      .filter(id => !listed.has(id))
      .map(id => ({id, offset, entry: undefined, unreadable: false}));
    const applied = [...removals, ...changes].filter(change =>
      applyOne(nowMs, change, 'store'),
    );
    if (applied.length > 0) regroup();
    return applied;
  }

  function applyOne(
    nowMs: number,
    change: EntryChange,
    source: ChangeSource,
  ): boolean {
    const {id, offset} = change;
    const known = byId.get(id);
    if (known) {
      if (offset <= known.offset) return false;
      known.offset = offset;
    }
    if (change.unreadable) return markUnreadable(id);
    if (!change.entry) return remove(nowMs, id, source);
    return register(nowMs, change.entry, offset);
  }

  function register(
    nowMs: number,
    entry: EndpointEntry,
    offset: number,
  ): boolean {
    const known = byId.get(entry.id);
    if (!known || known.entry.startedAtMs !== entry.startedAtMs) {
      // A late record of an earlier start is ignored.
      if (known && entry.startedAtMs < known.entry.startedAtMs) return false;
      const {state, warmUpMs} = entry;
      const warmUntilMs = nowMs + warmUpMs;
      byId.set(entry.id, {entry, state, offset, warmUntilMs, sinceMs: nowMs});
      return true;
    }
    return updateRegistration(nowMs, known, entry);
  }

  function remove(nowMs: number, id: string, source: ChangeSource): boolean {
    const known = byId.get(id);
    if (!known || known.state === 'gone' || known.state === 'missing') {
      return false;
    }
    const retains = source === 'store' && nowMs < retainMissingUntilMs;
    const retained = retains && known.state === 'ready';
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
        const {offset} = known;
        gone.push({id, offset, entry: undefined, unreadable: false});
      } else if (known.state === 'gone' && ageMs >= GONE_RETENTION_MS) {
        byId.delete(id);
      }
    }
    if (gone.length > 0) regroup();
    return gone;
  }

  function regroup(): void {
    byService = usableByService(byId.values());
  }

  function present(): RegisteredEndpoint[] {
    return [...byId.values()].filter(({state}) => state !== 'gone');
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
    entries: () => present().map(({entry}) => entry),
    listing: nowMs =>
      present().map(registered => listedChange(nowMs, registered)),
    summary: () => summarize(present()),
  };
}
