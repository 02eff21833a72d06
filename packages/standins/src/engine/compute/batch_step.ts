import type {StreamState} from '../sessions/stream_state.js';
import type {PrefillChunk} from './prefill_chunk.js';

/** One step of continuous batching: prefill chunks and decoding streams. */
export interface BatchStep {
  endMs: number;
  chunks: PrefillChunk[];
  decoding: StreamState[];
}
