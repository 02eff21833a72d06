import type {Route} from '../configuration/route.js';

/** What a caller and endpoints have seen of a request. */
export interface ObservedRequest {
  route: Route;
  /** Steady clock, less the time in which the process had not run by then. */
  arrivedMs: number;
  deadlineMs: number;
  /** By number; `running` until it is known to have ended. */
  attempts: Map<number, 'running' | 'not_run' | 'ended'>;
  /** Whether it may have to wait until engines set memory aside. */
  waitsForMemory: boolean;
  /** Whether the caller has its final answer or has left. */
  finished: boolean;
  /** Whether the caller was sent the head of a stream. */
  streamStarted: boolean;
  /** Number of the newest piece that the caller was sent. */
  lastPiece: number;
}
