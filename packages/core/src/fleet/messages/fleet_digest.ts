import type {MemberBeat} from './member_beat.js';
import type {MemberChanges} from './member_changes.js';

/** What other gateways asked the sender to pass on, and its own. */
export interface FleetDigest {
  kind: 'fleet_digest';
  changes: MemberChanges[];
  beats: MemberBeat[];
  /** Whether the receiver is asked to pass it on in its failure domain. */
  passOn: boolean;
}
