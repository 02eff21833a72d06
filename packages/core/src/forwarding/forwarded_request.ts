import type {CustomerAccess} from '../configuration/customer_access.js';
import type {Route} from '../configuration/route.js';
import type {RequestArrived} from '../gateway/events/request_arrived.js';
import type {AttemptHistory} from '../requests/attempt_history.js';
import type {SuspectRequest} from '../quarantine/suspect_request.js';
import type {ExpectedWork} from '../work_model/expected_work.js';
import type {CurrentAttempt} from './current_attempt.js';
import type {PlannedStart} from './planned_start.js';

/** An admitted request without a final answer. */
export interface ForwardedRequest {
  reqId: string;
  arrived: RequestArrived;
  /** What the quarantine sees of it. */
  suspect: SuspectRequest;
  route: Route;
  service: string;
  customer: CustomerAccess | undefined;
  /** Steady clock. */
  arrivedMs: number;
  /** Steady clock; the request has its final answer by then. */
  deadlineMs: number;
  /** The caller's own deadline; undefined if it gave none. */
  callerDeadlineMs: number | undefined;
  expectedWork: ExpectedWork;
  history: AttemptHistory;
  /** Number of the newest attempt; 0 before the first. */
  attempts: number;
  current: CurrentAttempt | undefined;
  plannedStart: PlannedStart | undefined;
  /**
   * Steady clock; next capacity check; undefined if it does not wait. Only the
   * record of waiting requests changes it.
   */
  nextCapacityCheckMs: number | undefined;
  /** Steady clock; when its failure is answered; undefined if it goes on. */
  failsAtMs: number | undefined;
  /** Endpoints that failed this request. */
  failedEndpoints: Set<string>;
  /** Number of times that engines refused to reserve memory for it. */
  reservationRefusals: number;
  /** Whether an engine has survived an answer to it. */
  survived: boolean;
  /** Number of the last piece that was sent to the caller. */
  lastPiece: number;
  /** Steady clock; when the newest piece was sent to the caller. */
  lastPieceMs: number | undefined;
  /** Time from arrival to the first piece; undefined before it. */
  firstPieceMs: number | undefined;
  /** Longest gap between two pieces so far. */
  longestGapMs: number;
  /** Whether the response head was sent to the caller. */
  streamStarted: boolean;
}
