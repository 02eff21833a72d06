import type {AppendSettled} from './append_settled.js';
import type {AttemptDelta} from './attempt_delta.js';
import type {AttemptEnded} from './attempt_ended.js';
import type {AttemptFailed} from './attempt_failed.js';
import type {CacheEvents} from './cache_events.js';
import type {EndpointReport} from './endpoint_report.js';
import type {EndpointUnreachable} from './endpoint_unreachable.js';
import type {LogRead} from './log_read.js';
import type {LogReadFailed} from './log_read_failed.js';
import type {PeerReceived} from './peer_received.js';
import type {RequestArrived} from './request_arrived.js';
import type {RequestCancelled} from './request_cancelled.js';
import type {ReservationSettled} from './reservation_settled.js';
import type {StopRequested} from './stop_requested.js';
import type {Tick} from './tick.js';
import type {VmListRead} from './vm_list_read.js';

/** Every event that a router handles. */
export type RouterEvent =
  | AppendSettled
  | AttemptDelta
  | AttemptEnded
  | AttemptFailed
  | CacheEvents
  | EndpointReport
  | EndpointUnreachable
  | LogRead
  | LogReadFailed
  | PeerReceived
  | RequestArrived
  | RequestCancelled
  | ReservationSettled
  | StopRequested
  | Tick
  | VmListRead;
