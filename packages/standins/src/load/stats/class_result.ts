import type {Summary} from './summary.js';

/** Result of one class. */
export interface ClassResult {
  sent: number;
  /** Number by how requests ended, with the code after a slash. */
  outcomes: Record<string, number>;
  /** Share completed within the timeout. */
  withinTime: number;
  /** Milliseconds to the end of completed answers. */
  totalMs: Summary;
}
