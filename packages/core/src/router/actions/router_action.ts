import type {Append} from './append.js';
import type {CancelAttempt} from './cancel_attempt.js';
import type {Deliver} from './deliver.js';
import type {Exit} from './exit.js';
import type {Finish} from './finish.js';
import type {Observe} from './observe.js';
import type {ReadCache} from './read_cache.js';
import type {ReleaseSession} from './release_session.js';
import type {Reserve} from './reserve.js';
import type {SendPeer} from './send_peer.js';
import type {SetReady} from './set_ready.js';
import type {StartAttempt} from './start_attempt.js';
import type {StopTail} from './stop_tail.js';
import type {Tail} from './tail.js';
import type {WatchEndpoints} from './watch_endpoints.js';
import type {WriteLog} from './write_log.js';

/** Every action of a router. */
export type RouterAction =
  | Append
  | CancelAttempt
  | Deliver
  | Exit
  | Finish
  | Observe
  | ReadCache
  | ReleaseSession
  | Reserve
  | SendPeer
  | SetReady
  | StartAttempt
  | StopTail
  | Tail
  | WatchEndpoints
  | WriteLog;
