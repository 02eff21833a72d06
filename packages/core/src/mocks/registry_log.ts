import type {GatewayEvent} from '../gateway/events/gateway_event.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import type {EntryChange} from '../registry/entry_change.js';
import {eraOf, indexInEra, storeOffset} from '../store_watch/store_offset.js';

const FIRST_OFFSET = 10;

/** The registrations of a store, as a log that keeps the newest of each id. */
export interface RegistryLog {
  /** Appends what has changed since the last call. */
  update(entries: EndpointEntry[]): void;
  /** Records from the offset on; everything that is registered without one. */
  read(fromOffset: number | undefined): GatewayEvent;
  /** Number of records. */
  length(): number;
  /** Keeps the first records only, in a new era. */
  restore(length: number, era: number): void;
}

/** Creates a log with the first registrations. */
export function createRegistryLog(first: EndpointEntry[]): RegistryLog {
  const records: EntryChange[] = [];
  const newest = new Map<string, EntryChange & {entry: EndpointEntry}>();
  let era = 0;

  function append(id: string, entry: EndpointEntry | undefined): void {
    const offset = FIRST_OFFSET + records.length;
    records.push({id, offset, entry, unreadable: false});
    if (entry) newest.set(id, {id, offset, entry, unreadable: false});
    else newest.delete(id);
  }

  function update(entries: EndpointEntry[]): void {
    const registered = new Set(entries.map(({id}) => id));
    for (const id of [...newest.keys()]) {
      if (!registered.has(id)) append(id, undefined);
    }
    for (const entry of entries) {
      if (newest.get(entry.id)?.entry !== entry) append(entry.id, entry);
    }
  }

  function read(fromOffset: number | undefined): GatewayEvent {
    const listing = fromOffset === undefined;
    const call = 'registry' as const;
    if (!listing && eraOf(fromOffset) !== era) {
      return {kind: 'store_failed', call, failure: 'restored'};
    }
    const from = listing ? 0 : indexInEra(fromOffset) - FIRST_OFFSET;
    const changes = listing ? [...newest.values()] : records.slice(from);
    return {
      kind: 'registry_read',
      listing,
      fromOffset: fromOffset ?? 0,
      nextOffset: storeOffset(era, FIRST_OFFSET + records.length),
      changes: changes.map(change => ({
        ...change,
        offset: storeOffset(era, change.offset),
      })),
    };
  }

  update(first);
  return {
    update,
    read,
    length: () => records.length,
    restore: (length, nextEra) => {
      era = nextEra;
      const kept = records.splice(0).slice(0, length);
      newest.clear();
      for (const {id, entry} of kept) append(id, entry);
    },
  };
}
