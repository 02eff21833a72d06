import type {Route} from '../configuration/route.js';

/** State of a request as its caller and endpoints observe it. */
export interface ObservedRequest {
  route: Route;
  /** Monotonic time, minus the time for which the process had been paused. */
  arrivedMs: number;
  deadlineMs: number;
  /** States by attempt number; `running` until known to have ended. */
  attempts: Map<number, 'running' | 'not_run' | 'ended'>;
  /** Whether it may have to wait for memory reservations on engines. */
  waitsForMemory: boolean;
  /** Whether the caller has its final answer or has left. */
  finished: boolean;
  /** Whether the caller was sent the head of the stream. */
  streamStarted: boolean;
  /** Number of the newest piece that the caller was sent. */
  lastPiece: number;
}
