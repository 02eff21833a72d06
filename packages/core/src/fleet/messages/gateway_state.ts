import type {WorkNotice} from './work_notice.js';

/** What a gateway tells of itself regularly. */
export interface GatewayState {
  failureDomain: string;
  /** Whether its last call of the store was answered. */
  storeReachable: boolean;
  /** Whether it is shutting down. */
  draining: boolean;
  /** Whether `work` is left out; what is known of it stays. */
  withoutWork: boolean;
  /** All its work. */
  work: WorkNotice[];
}
