import type {StoreCall} from '../../store_watch/store_call.js';

/** Asks the store; the result comes as an event. */
export interface ReadStore {
  kind: 'read_store';
  call: StoreCall;
  /** First record wanted; undefined asks for everything that is kept. */
  fromOffset: number | undefined;
}
