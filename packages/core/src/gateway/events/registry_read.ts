import type {EntryChange} from '../../registry/entry_change.js';

/** What the store holds of the endpoints' registry, or what was added. */
export interface RegistryRead {
  kind: 'registry_read';
  /** Whether `changes` is everything that is registered. */
  listing: boolean;
  /** Offset at which the read began; 0 for a listing. */
  fromOffset: number;
  /** Offset of the first record that was not read yet. */
  nextOffset: number;
  changes: EntryChange[];
}
