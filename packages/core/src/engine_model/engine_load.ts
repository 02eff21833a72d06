import type {AffectedWork} from './affected_work.js';

/** Estimated load of an engine, by known work. Times in milliseconds. */
export interface EngineLoad {
  /** Requests that the engine answers. */
  requests: number;
  /** Prompts of other engines of which it prefills a part. */
  helpedPrefills: number;
  /** Work that another prefill would delay. */
  affected: AffectedWork[];
  /** Time until all prefills that have started are done. */
  backlogMs: number;
  /** Time until all prefills are done, planned ones included. */
  freeInMs: number;
  /** Longest prefill that is planned and has not started. */
  longestPlannedPrefillMs: number;
  /** Streams that it decodes. */
  decodingStreams: number;
  /** Whether one of its streams is strict, see `STRICT_GAP_MS`. */
  hasStrictStream: boolean;
  /** Duration of a pass without prefill. */
  passMs: number;
  /** Memory that the work holds or will hold, in tokens. */
  heldTokens: number;
}
