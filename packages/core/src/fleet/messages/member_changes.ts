import type {WorkChanges} from './work_changes.js';

/** Changes in the work of a gateway that is not the sender. */
export interface MemberChanges extends WorkChanges {
  /** Peer address, `IP:PORT`. */
  member: string;
  /** Incarnation of the member to which the work belongs. */
  incarnation: number;
}
