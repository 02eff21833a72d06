import type {AffectedWork} from './affected_work.js';

/** What an engine has to do, by the work that is known. Milliseconds. */
export interface EngineLoad {
  /** Requests that the engine answers. */
  requests: number;
  /** Prompts of other engines that it helps to read. */
  helpedPrefills: number;
  /** Work that more reading would delay. */
  affected: AffectedWork[];
  /** Time until everything is read that has been started. */
  backlogMs: number;
  /** Time until everything is read that is planned. */
  freeInMs: number;
  /** Longest reading that is planned and has not been started. */
  longestPlannedPrefillMs: number;
  /** Streams that it writes. */
  decodingStreams: number;
  /** Whether one of its streams must not pause for long. */
  hasStrictStream: boolean;
  /** Duration of a pass without reading. */
  passMs: number;
  /** Tokens that the work holds or will hold. */
  heldTokens: number;
}
