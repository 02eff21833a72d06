import type {Outcome} from '../../types/outcome.js';
import type {LoadItem} from './mixed_load.js';

/** One request of the load, its times and its outcome. */
export interface LoadRecord extends LoadItem {
  arrivedMs: number;
  timeoutMs: number;
  firstTokenMs: number | undefined;
  /** Time from arrival to the outcome; undefined while it is open. */
  totalMs: number | undefined;
  outcome: Outcome | undefined;
}
