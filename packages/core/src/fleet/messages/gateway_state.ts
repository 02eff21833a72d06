import type {WorkNotice} from './work_notice.js';

/** State that a gateway reports in its heartbeats. */
export interface GatewayState {
  failureDomain: string;
  /** Whether the store answered its last call. */
  storeReachable: boolean;
  /** Whether it is shutting down. */
  draining: boolean;
  /** Whether `work` is left out; the receiver keeps what it knows of it. */
  withoutWork: boolean;
  /** All its work in flight. */
  work: WorkNotice[];
}
