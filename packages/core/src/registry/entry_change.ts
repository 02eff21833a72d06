import type {EndpointEntry} from './endpoint_entry.js';

/**
 * A change of the registry. Without an entry, the id is no longer registered;
 * `unreadable` means that what is registered under it names no endpoint.
 */
export interface EntryChange {
  id: string;
  entry: EndpointEntry | undefined;
  unreadable: boolean;
}
