import type {Answer} from './answer.js';
import type {BeginStream} from './begin_stream.js';
import type {BreakStream} from './break_stream.js';
import type {EndStream} from './end_stream.js';
import type {Exit} from './exit.js';
import type {FetchWeights} from './fetch_weights.js';
import type {Refuse} from './refuse.js';
import type {ReleaseRemote} from './release_remote.js';
import type {SendPart} from './send_part.js';
import type {UseRemote} from './use_remote.js';

/** Side effects that the engine node requests from its process. */
export type EngineAction =
  | Answer
  | BeginStream
  | BreakStream
  | EndStream
  | Exit
  | FetchWeights
  | Refuse
  | ReleaseRemote
  | SendPart
  | UseRemote;
