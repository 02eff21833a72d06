import type {Gossip} from './gossip.js';

/** Asks the receiver to probe a member that did not answer the sender. */
export interface ProbeRequest {
  kind: 'probe_request';
  sequence: number;
  /** Address of the member. */
  target: string;
  gossip: Gossip;
}
