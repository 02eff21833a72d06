import type {EndpointEntry} from './endpoint_entry.js';

/**
 * A change of the registry. Without an entry, the id is no longer registered;
 * `unreadable` means that its record does not describe a valid endpoint.
 */
export interface EntryChange {
  id: string;
  entry: EndpointEntry | undefined;
  unreadable: boolean;
}
