import type {StreamState} from './stream_state.js';

/** Prefill tokens that are not computed yet. */
export function queuedTokens(streams: StreamState[]): number {
  return streams
    .filter(({phase}) => phase === 'waiting' || phase === 'prefill')
    .reduce((sum, stream) => sum + stream.prefillTokens - stream.position, 0);
}
