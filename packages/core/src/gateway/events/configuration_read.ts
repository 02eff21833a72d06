import type {Configuration} from '../../configuration/configuration.js';

/** What the store holds of the configuration, or what was added to it. */
export interface ConfigurationRead {
  kind: 'configuration_read';
  /** Offset of the first record that was not read yet. */
  nextOffset: number;
  /** Undefined if there was no newer version. */
  configuration: Configuration | undefined;
}
