import type {EntryChange} from '../../registry/entry_change.js';

/** The store answered a read of the registry, whole or from an offset. */
export interface RegistryRead {
  kind: 'registry_read';
  /** Whether `changes` lists everything that is registered. */
  listing: boolean;
  /** Offset at which the read began; 0 for a listing. */
  fromOffset: number;
  /** Offset of the first record that was not read yet. */
  nextOffset: number;
  changes: EntryChange[];
}
