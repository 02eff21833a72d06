import type {Configuration} from '../../configuration/configuration.js';
import type {EndpointEntry} from '../../registry/endpoint_entry.js';

/** The sender's copy of the configuration and the registry. */
export interface StateCopy {
  kind: 'state_copy';
  configurationOffset: number;
  /** Undefined if the receiver's version is not older. */
  configuration: Configuration | undefined;
  registryOffset: number;
  entries: EndpointEntry[];
  /** Time since the sender read this, in milliseconds. */
  ageMs: number;
}
