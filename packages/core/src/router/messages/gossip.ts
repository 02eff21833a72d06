import type {EndpointNotice} from './endpoint_notice.js';
import type {MemberUpdate} from './member_update.js';
import type {WorkNotice} from './work_notice.js';

/** Bounded payload that every membership message carries. */
export interface Gossip {
  /** Failure domain of the sender. */
  failureDomain: string;
  /** Refutation number of the sender. */
  refutation: number;
  /** Offset of the next table record the sender expects. */
  tableNext: number;
  members: MemberUpdate[];
  endpoints: EndpointNotice[];
  work: WorkNotice[];
}
