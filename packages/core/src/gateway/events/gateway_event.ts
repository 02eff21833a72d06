import type {AnswerReceived} from './answer_received.js';
import type {AttemptFailed} from './attempt_failed.js';
import type {CallerLeft} from './caller_left.js';
import type {ConfigurationRead} from './configuration_read.js';
import type {EndpointProbed} from './endpoint_probed.js';
import type {HintsReceived} from './hints_received.js';
import type {LiftRequested} from './lift_requested.js';
import type {MemberAnnounced} from './member_announced.js';
import type {MembersRead} from './members_read.js';
import type {MemorySettled} from './memory_settled.js';
import type {PeerReceived} from './peer_received.js';
import type {PieceReceived} from './piece_received.js';
import type {QuarantineRead} from './quarantine_read.js';
import type {QuarantineSaved} from './quarantine_saved.js';
import type {RegistryRead} from './registry_read.js';
import type {RequestArrived} from './request_arrived.js';
import type {SettingsChanged} from './settings_changed.js';
import type {StopRequested} from './stop_requested.js';
import type {StoreFailed} from './store_failed.js';
import type {StreamEnded} from './stream_ended.js';
import type {StreamStarted} from './stream_started.js';
import type {Tick} from './tick.js';

/** Every event that a gateway handles. */
export type GatewayEvent =
  | AnswerReceived
  | AttemptFailed
  | CallerLeft
  | ConfigurationRead
  | EndpointProbed
  | HintsReceived
  | LiftRequested
  | MemberAnnounced
  | MembersRead
  | MemorySettled
  | PeerReceived
  | PieceReceived
  | QuarantineRead
  | QuarantineSaved
  | RegistryRead
  | RequestArrived
  | SettingsChanged
  | StopRequested
  | StoreFailed
  | StreamEnded
  | StreamStarted
  | Tick;
