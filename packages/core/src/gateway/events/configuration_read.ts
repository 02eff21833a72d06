import type {Configuration} from '../../configuration/configuration.js';

/** The store answered a read of the configuration, whole or from an offset. */
export interface ConfigurationRead {
  kind: 'configuration_read';
  /** Offset of the first record that was not read yet. */
  nextOffset: number;
  /** Undefined if there was no newer version. */
  configuration: Configuration | undefined;
  /** Whether a newer record was left out because it is malformed. */
  unreadable: boolean;
}
