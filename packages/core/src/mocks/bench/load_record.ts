import type {Outcome} from '../../types/outcome.js';
import type {LoadItem} from './mixed_load.js';

/** What became of one request of the load. */
export interface LoadRecord extends LoadItem {
  arrivedMs: number;
  timeoutMs: number;
  firstTokenMs: number | undefined;
  /** Time from arrival to the outcome; undefined while it is open. */
  totalMs: number | undefined;
  outcome: Outcome | undefined;
}
