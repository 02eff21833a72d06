import type {StreamState} from '../sessions/stream_state.js';

/** Part of a prompt that is prefilled in one batch step. */
export interface PrefillChunk {
  stream: StreamState;
  tokens: number;
}
