import type {Gossip} from './gossip.js';

/** Requests a `probe_ack` with the same sequence number. */
export interface Probe {
  kind: 'probe';
  sequence: number;
  gossip: Gossip;
}
