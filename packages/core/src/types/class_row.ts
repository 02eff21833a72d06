import type {Objective} from './objective.js';

/** A traffic class as operators define it. */
export interface ClassRow {
  type: 'class';
  name: string;
  /** Model name or plain service name that serves the class. */
  service: string;
  /** Share in weighted fair queueing, in tokens; greater than 0. */
  weight: number;
  /** 0 is served first, 9 last. */
  priority: number;
  /** Time from admission to the last byte, in milliseconds. */
  timeoutMs: number;
  idempotent: boolean;
  objective: Objective;
}
