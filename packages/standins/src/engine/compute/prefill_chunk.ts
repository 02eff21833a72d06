import type {StreamState} from '../sessions/stream_state.js';

/** Tokens of a prompt that are prefilled in one batch step. */
export interface PrefillChunk {
  stream: StreamState;
  tokens: number;
}
