import type {EntryChange} from '../../registry/entry_change.js';
import type {RegistrySummary} from '../../registry/registry_summary.js';

/** Registry changes and offsets that the sender has read from the store. */
export interface StoreNews {
  kind: 'store_news';
  /** Offsets up to which the sender has read. */
  configurationOffset: number;
  /** Drained failure domains at `configurationOffset`; undefined if unknown. */
  drainedDomains: string[] | undefined;
  registryOffset: number;
  /** `changes` holds every change from this offset on. */
  registryFromOffset: number;
  changes: EntryChange[];
  /** The sender's registry at `registryOffset`. */
  summary: RegistrySummary;
  /** Whether the sender keeps endpoints that an outage may have dropped. */
  retaining: boolean;
  /** Time since the sender read this, in milliseconds. */
  ageMs: number;
}
