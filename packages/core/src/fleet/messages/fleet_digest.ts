import type {MemberBeat} from './member_beat.js';
import type {MemberChanges} from './member_changes.js';

/** Changes and heartbeats of the sender and of gateways it relays for. */
export interface FleetDigest {
  kind: 'fleet_digest';
  changes: MemberChanges[];
  beats: MemberBeat[];
  /** Whether the receiver passes it on in its failure domain. */
  passOn: boolean;
}
