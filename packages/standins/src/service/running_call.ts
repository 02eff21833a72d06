import type {CallArrived} from './service_event.js';

/** A call that has been executed but not answered yet. */
export interface RunningCall {
  call: CallArrived;
  /** Ordinal of this execution among those of its idempotency key. */
  execution: number;
  dueMs: number;
  /** Whether the call is answered, its connection closed, or neither. */
  ending: 'answer' | 'close' | 'never';
}
