import type {StoreCall} from '../../store_watch/store_call.js';

/** Reads from the store; the result arrives as an event. */
export interface ReadStore {
  kind: 'read_store';
  call: StoreCall;
  /** First record to read; undefined reads everything that is kept. */
  fromOffset: number | undefined;
}
