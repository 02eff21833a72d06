import type {CustomerAccess} from '../configuration/customer_access.js';
import type {Route} from '../configuration/route.js';
import type {RequestArrived} from '../gateway/events/request_arrived.js';
import type {AttemptHistory} from '../requests/attempt_history.js';
import type {CurrentAttempt} from './current_attempt.js';
import type {PlannedStart} from './planned_start.js';

/** A request that was admitted and has no final answer yet. */
export interface ForwardedRequest {
  reqId: string;
  arrived: RequestArrived;
  route: Route;
  service: string;
  customer: CustomerAccess | undefined;
  /** Steady clock. */
  arrivedMs: number;
  /** Steady clock; the request has its final answer by then. */
  deadlineMs: number;
  /** The caller's own deadline; undefined if it gave none. */
  callerDeadlineMs: number | undefined;
  history: AttemptHistory;
  /** Number of the newest attempt; 0 before the first. */
  attempts: number;
  current: CurrentAttempt | undefined;
  plannedStart: PlannedStart | undefined;
  /** Steady clock; next look for room; undefined if it waits for none. */
  nextCapacityCheckMs: number | undefined;
  /** Endpoints that failed this request. */
  failedEndpoints: Set<string>;
  /** Times that engines would not set memory aside for it. */
  reservationRefusals: number;
  /** Last piece that the caller was sent. */
  lastPiece: number;
  /** Steady clock; when the newest piece was passed on. */
  lastPieceMs: number | undefined;
  /** Time from arrival to the first piece; undefined before it. */
  firstPieceMs: number | undefined;
  /** Longest pause between two pieces so far. */
  longestGapMs: number;
  /** Whether the caller was sent the head of a stream. */
  streamStarted: boolean;
}
