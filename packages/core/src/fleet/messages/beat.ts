import type {WorkNotice} from './work_notice.js';

/** Regular message by which gateways know that others live. */
export interface Beat {
  kind: 'beat';
  failureDomain: string;
  /** Whether the sender's last call of the store was answered. */
  storeReachable: boolean;
  /** Whether the sender is shutting down. */
  draining: boolean;
  /** The sender does not know the receiver and asks for a beat. */
  wantsReply: boolean;
  /** Whether `work` is left out; what is known of it stays. */
  withoutWork: boolean;
  /** All work of the sender. */
  work: WorkNotice[];
}
