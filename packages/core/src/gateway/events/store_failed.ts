import type {StoreCall} from '../../store_watch/store_call.js';
import type {StoreFailure} from '../../store_watch/store_failure.js';

/** A call of the store failed. */
export interface StoreFailed {
  kind: 'store_failed';
  call: StoreCall;
  failure: StoreFailure;
}
