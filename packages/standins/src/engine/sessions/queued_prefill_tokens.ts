import type {StreamState} from './stream_state.js';

/** Tokens that remain to be prefilled. */
export function queuedPrefillTokens(streams: StreamState[]): number {
  return streams
    .filter(({phase}) => phase === 'waiting' || phase === 'prefill')
    .reduce(
      (sum, stream) => sum + stream.prefillTokens - stream.prefilledTokens,
      0,
    );
}
