import type {Exit} from '../../router/actions/exit.js';
import type {Observe} from '../../router/actions/observe.js';
import type {SetReady} from '../../router/actions/set_ready.js';
import type {WriteLog} from '../../router/actions/write_log.js';
import type {AnnounceMember} from './announce_member.js';
import type {ApplyLimits} from './apply_limits.js';
import type {BeginStream} from './begin_stream.js';
import type {BreakStream} from './break_stream.js';
import type {CancelAttempt} from './cancel_attempt.js';
import type {CloseCallers} from './close_callers.js';
import type {DeliverAnswer} from './deliver_answer.js';
import type {DeliverPiece} from './deliver_piece.js';
import type {EndStream} from './end_stream.js';
import type {KeepEndpoints} from './keep_endpoints.js';
import type {OrderMemory} from './order_memory.js';
import type {ProbeEndpoint} from './probe_endpoint.js';
import type {ReadStore} from './read_store.js';
import type {Refuse} from './refuse.js';
import type {SaveQuarantine} from './save_quarantine.js';
import type {SendPeers} from './send_peers.js';
import type {StartAttempt} from './start_attempt.js';

/** Every action of a gateway. */
export type GatewayAction =
  | AnnounceMember
  | ApplyLimits
  | BeginStream
  | BreakStream
  | CancelAttempt
  | CloseCallers
  | DeliverAnswer
  | DeliverPiece
  | EndStream
  | Exit
  | KeepEndpoints
  | Observe
  | OrderMemory
  | ProbeEndpoint
  | ReadStore
  | Refuse
  | SaveQuarantine
  | SendPeers
  | SetReady
  | StartAttempt
  | WriteLog;
