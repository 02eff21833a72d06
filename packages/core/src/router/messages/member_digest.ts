import type {Gossip} from './gossip.js';

/** Answered by a `member_list` if any hash of the receiver differs. */
export interface MemberDigest {
  kind: 'member_digest';
  /** Hashes over the live members, one for each bucket of addresses. */
  buckets: number[];
  /** Hash over the notices of leaving endpoints. */
  endpointHash: number;
  gossip: Gossip;
}
