import type {MemberStatus} from '../../membership/member_status.js';

/** State of one router as the sender knows it. */
export interface MemberUpdate {
  /** `IP:PORT`. */
  address: string;
  failureDomain: string;
  /** Increases with each start of the process; part of session owner ids. */
  incarnation: number;
  /** Raised by the member itself to refute a suspicion; 0 at its start. */
  refutation: number;
  status: MemberStatus;
}
