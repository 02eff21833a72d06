import type {EntryChange} from '../../registry/entry_change.js';

/** What the sender has read from the store. */
export interface StoreNews {
  kind: 'store_news';
  /** Offsets up to which the sender has read. */
  configurationOffset: number;
  registryOffset: number;
  /** `changes` are all that happened from this offset on. */
  registryFromOffset: number;
  changes: EntryChange[];
  /** Time since the sender read this, in milliseconds. */
  ageMs: number;
}
