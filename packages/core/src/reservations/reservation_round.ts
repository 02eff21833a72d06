import type {AttemptReservation} from '../router/actions/start_attempt.js';
import type {RouteChoice} from '../routing/route_choice.js';
import type {PlannedReservation} from './reservation_plan.js';

/** One attempt to reserve all memory that a request needs. */
export interface ReservationRound {
  reqId: string;
  /** Number of the round, by which late answers of earlier ones are known. */
  round: number;
  choice: RouteChoice;
  /** Endpoints that the choice was made from. */
  candidates: number;
  deadlineMs: number;
  plan: PlannedReservation[];
  held: AttemptReservation[];
  /** Monotonic time at which the pending answer counts as lost. */
  answerDueMs: number;
}
