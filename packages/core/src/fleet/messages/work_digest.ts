import type {MemberChanges} from './member_changes.js';

/** Changes that other gateways asked the sender to pass on, and its own. */
export interface WorkDigest {
  kind: 'work_digest';
  changes: MemberChanges[];
  /** Whether the receiver is asked to pass it on in its failure domain. */
  passOn: boolean;
}
