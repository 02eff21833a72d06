import type {Recorder} from './recorder.js';

/** Counts of a group of requests. */
export interface TallyCounts {
  sent: number;
  completed: number;
  /** Number by how requests ended, with the code after a slash. */
  outcomes: Record<string, number>;
  /** Share completed within the timeout. */
  withinTime: number;
  tokens: number;
  firstTokenMs: Recorder;
  totalMs: Recorder;
}
