import type {QueueEntry} from '../queue/queue_entry.js';
import type {RouteChoice} from '../routing/route_choice.js';
import type {AttemptHistory} from './attempt_history.js';
import type {RequestPhase} from './request_phase.js';

/** An admitted request that has not ended. */
export interface RequestState {
  entry: QueueEntry;
  idempotent: boolean;
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
  /** Monotonic time of the attempt's start or of its newest part. */
  lastProgressMs: number;
  /** Monotonic time at which a backoff ends. */
  retryAtMs: number;
  firstTokenMs: number | undefined;
  /** Route choice of the newest attempt; undefined before the first. */
  choice: RouteChoice | undefined;
  /** Number of backoffs after refused reservations. */
  backoffs: number;
  failedEndpoints: Set<string>;
  history: AttemptHistory;
}
