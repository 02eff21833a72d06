import type {Configuration} from '../../configuration/configuration.js';
import type {EntryChange} from '../../registry/entry_change.js';

/** The sender's copy of the configuration and the registry. */
export interface StateCopy {
  kind: 'state_copy';
  configurationOffset: number;
  /** Drained failure domains at `configurationOffset`; undefined if unknown. */
  drainedDomains: string[] | undefined;
  /** Undefined if the receiver's version is not older. */
  configuration: Configuration | undefined;
  registryOffset: number;
  /** Everything that is registered. */
  entries: EntryChange[];
  /** Time since the sender read this, in milliseconds. */
  ageMs: number;
}
