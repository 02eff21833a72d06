import type {Gossip} from './gossip.js';

/** Answers a probe, or a probe request once its target has answered. */
export interface ProbeAck {
  kind: 'probe_ack';
  sequence: number;
  gossip: Gossip;
}
