import type {StreamState} from '../sessions/stream_state.js';
import type {PrefillChunk} from './prefill_chunk.js';

/** What the engine computes at once. */
export interface BatchStep {
  endMs: number;
  chunks: PrefillChunk[];
  decoding: StreamState[];
}
