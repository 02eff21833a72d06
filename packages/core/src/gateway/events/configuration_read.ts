import type {Configuration} from '../../configuration/configuration.js';
import type {DomainDrainChange} from '../../domain_drain/domain_drain_change.js';

/** The store answered a read of the configuration, whole or from an offset. */
export interface ConfigurationRead {
  kind: 'configuration_read';
  /** Whether everything was read; else records from `fromOffset` on. */
  listing: boolean;
  fromOffset: number;
  /** Offset of the first record that was not read yet. */
  nextOffset: number;
  /** Undefined if there was no newer version. */
  configuration: Configuration | undefined;
  /** Whether a newer record was left out because it is malformed. */
  unreadable: boolean;
  /** Drains of failure domains, in the order of their records. */
  drains: DomainDrainChange[];
}
