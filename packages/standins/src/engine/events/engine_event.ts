import type {ChatArrived} from './chat_arrived.js';
import type {ClientGone} from './client_gone.js';
import type {ControlReceived} from './control_received.js';
import type {ExportAsked} from './export_asked.js';
import type {ImportAsked} from './import_asked.js';
import type {OrderReceived} from './order_received.js';
import type {RemoteSettled} from './remote_settled.js';
import type {ReservationAsked} from './reservation_asked.js';
import type {ReservationUsed} from './reservation_used.js';
import type {SessionDeleted} from './session_deleted.js';
import type {StopRequested} from './stop_requested.js';
import type {Tick} from './tick.js';
import type {WeightsSettled} from './weights_settled.js';

/** Inputs of the engine node. */
export type EngineEvent =
  | ChatArrived
  | ClientGone
  | ControlReceived
  | ExportAsked
  | ImportAsked
  | OrderReceived
  | RemoteSettled
  | ReservationAsked
  | ReservationUsed
  | SessionDeleted
  | StopRequested
  | Tick
  | WeightsSettled;
