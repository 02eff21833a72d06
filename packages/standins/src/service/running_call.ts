import type {CallArrived} from './service_event.js';

/** A call that has been executed and not yet answered. */
export interface RunningCall {
  call: CallArrived;
  /** Number of this execution for its idempotency key. */
  execution: number;
  dueMs: number;
  ending: 'answer' | 'close' | 'never';
}
