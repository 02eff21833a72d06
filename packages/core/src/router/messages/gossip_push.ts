import type {Gossip} from './gossip.js';

/** Carries urgent updates without waiting for the next probe. */
export interface GossipPush {
  kind: 'gossip_push';
  gossip: Gossip;
}
