import type {EndpointEntry} from './endpoint_entry.js';

/**
 * A change of the registry. Without an entry, the id is no longer registered;
 * `unreadable` means that its record does not describe a valid endpoint.
 */
export interface EntryChange {
  id: string;
  /**
   * Offset of the record in the store. It orders the changes of one id, whoever
   * reports them and how often.
   */
  offset: number;
  entry: EndpointEntry | undefined;
  unreadable: boolean;
}
