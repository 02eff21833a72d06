import type {AppendSettled} from '../../router/events/append_settled.js';
import type {EndpointReport} from '../../router/events/endpoint_report.js';
import type {EndpointUnreachable} from '../../router/events/endpoint_unreachable.js';
import type {LogRead} from '../../router/events/log_read.js';
import type {LogReadFailed} from '../../router/events/log_read_failed.js';
import type {StopRequested} from '../../router/events/stop_requested.js';
import type {Tick} from '../../router/events/tick.js';
import type {OrderSettled} from './order_settled.js';
import type {WeightsSettled} from './weights_settled.js';

/** Events that a placer handles. */
export type PlacerEvent =
  | AppendSettled
  | EndpointReport
  | EndpointUnreachable
  | LogRead
  | LogReadFailed
  | OrderSettled
  | StopRequested
  | Tick
  | WeightsSettled;
