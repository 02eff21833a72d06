import type {MemberStatus} from '../../membership/member_status.js';

/** What the sender believes of one router. */
export interface MemberUpdate {
  /** `IP:PORT`. */
  address: string;
  failureDomain: string;
  /** Larger for each start of the process; part of session owner ids. */
  incarnation: number;
  /** Raised by the member itself to refute a suspicion; 0 at its start. */
  refutation: number;
  status: MemberStatus;
}
