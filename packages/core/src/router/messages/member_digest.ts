import type {Gossip} from './gossip.js';

/** Answered by a `member_list` if the receiver's hash differs. */
export interface MemberDigest {
  kind: 'member_digest';
  /** Hash over live members and endpoint notices. */
  hash: number;
  gossip: Gossip;
}
