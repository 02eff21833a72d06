import type {GatewayEvent} from '../gateway/events/gateway_event.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import type {EntryChange} from '../registry/entry_change.js';

const FIRST_OFFSET = 10;

/** The registrations of a store, as a log that keeps the newest of each id. */
export interface RegistryLog {
  /** Appends what has changed since the last call. */
  update(entries: EndpointEntry[]): void;
  /** Records from the offset on; everything that is registered without one. */
  read(fromOffset: number | undefined): GatewayEvent;
}

/** Creates a log with the first registrations. */
export function createRegistryLog(first: EndpointEntry[]): RegistryLog {
  const records: EntryChange[] = [];
  const newest = new Map<string, EntryChange & {entry: EndpointEntry}>();

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
    const from = listing ? 0 : fromOffset - FIRST_OFFSET;
    return {
      kind: 'registry_read',
      listing,
      fromOffset: fromOffset ?? 0,
      nextOffset: FIRST_OFFSET + records.length,
      changes: listing ? [...newest.values()] : records.slice(from),
    };
  }

  update(first);
  return {update, read};
}
