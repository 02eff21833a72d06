import type {Objective} from '../types/objective.js';
import type {QueueEntry} from '../queue/queue_entry.js';
import type {AttemptHistory} from './attempt_history.js';
import type {RequestPhase} from './request_phase.js';

/** An admitted request that has not ended. */
export interface RequestState {
  entry: QueueEntry;
  idempotent: boolean;
  objective: Objective;
  prefixHashes: string[];
  /** Empty for idempotent requests without a key. */
  idempotencyKey: string;
  phase: RequestPhase;
  /** Number of the current attempt; 0 before the first. */
  attempt: number;
  /** Endpoint of the current attempt; empty if there is none. */
  endpoint: string;
  /** Sequence number of the next part to deliver. */
  nextSequence: number;
  /** Monotonic time of the attempt's start or its newest part. */
  progressMs: number;
  /** Monotonic time at which a backoff ends. */
  retryAtMs: number;
  firstTokenMs: number | undefined;
  failedEndpoints: Set<string>;
  history: AttemptHistory;
}
