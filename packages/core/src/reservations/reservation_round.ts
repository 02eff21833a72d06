import type {AttemptReservation} from '../router/actions/start_attempt.js';
import type {RouteChoice} from '../routing/route_choice.js';
import type {PlannedReservation} from './reservation_plan.js';

/** One try to reserve everything that a request needs. */
export interface ReservationRound {
  reqId: string;
  /** Number of the round; tells late answers of earlier rounds apart. */
  round: number;
  choice: RouteChoice;
  /** Endpoints that the choice was made from. */
  candidates: number;
  deadlineMs: number;
  plan: PlannedReservation[];
  held: AttemptReservation[];
  /** Monotonic time at which the open answer counts as lost. */
  answerDueMs: number;
}
