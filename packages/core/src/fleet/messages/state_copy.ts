import type {Configuration} from '../../configuration/configuration.js';
import type {EndpointEntry} from '../../registry/endpoint_entry.js';

/** What the sender knows of the store's content. */
export interface StateCopy {
  kind: 'state_copy';
  configurationOffset: number;
  /** Undefined if the receiver's version is as new. */
  configuration: Configuration | undefined;
  registryOffset: number;
  entries: EndpointEntry[];
  /** Time since the sender read this, in milliseconds. */
  ageMs: number;
}
