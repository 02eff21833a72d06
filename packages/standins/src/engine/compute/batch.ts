import type {EngineConfig} from '../engine_config.js';
import type {StreamState} from '../sessions/stream_state.js';
import type {BatchStep} from './batch_step.js';
import {decodeMs, prefillMs} from './cost_model.js';
import type {PrefillChunk} from './prefill_chunk.js';
import {sortByTurn} from './sort_by_turn.js';

/** Continuous batching with chunked prefill. */
export interface Batch {
  /** End of the running step; undefined if nothing runs. */
  endMs(): number | undefined;
  /** Starts a step if there is work. */
  start(nowMs: number, streams: StreamState[], slowFactor: number): void;
  /** Ends the running step; returns the streams that have a new token. */
  complete(): StreamState[];
}

/** Creates an idle batch. */
export function createBatch(cfg: EngineConfig): Batch {
  let running: BatchStep | undefined;

  function chunksOf(streams: StreamState[]): PrefillChunk[] {
    const chunks: PrefillChunk[] = [];
    let budget = cfg.chunkTokens;
    const prefilling = streams.filter(({phase}) => phase === 'prefill');
    for (const stream of sortByTurn(prefilling, cfg.usePriorities)) {
      if (budget === 0) break;
      const left = stream.prefillTokens - stream.position;
      const tokens = Math.min(budget, left);
      budget -= tokens;
      chunks.push({stream, tokens});
    }
    return chunks;
  }

  function start(
    nowMs: number,
    streams: StreamState[],
    slowFactor: number,
  ): void {
    const chunks = chunksOf(streams);
    const decoding = streams.filter(({phase}) => phase === 'decode');
    if (chunks.length === 0 && decoding.length === 0) return;
    let costMs = decodeMs(cfg.cost, decoding.length);
    for (const {stream, tokens} of chunks) {
      const engines = 1 + stream.request.reservations.length;
      costMs += prefillMs(cfg.cost, stream.position, tokens) / engines;
    }
    const endMs = nowMs + (costMs * slowFactor) / cfg.timeScale;
    running = {endMs, chunks, decoding};
  }

  function complete(): StreamState[] {
    const step = running;
    running = undefined;
    if (!step) return [];
    const advanced = step.decoding.filter(({phase}) => phase === 'decode');
    for (const {stream, tokens} of step.chunks) {
      if (stream.phase !== 'prefill') continue;
      stream.position += tokens;
      if (stream.position < stream.prefillTokens) continue;
      stream.phase = 'decode';
      advanced.push(stream);
    }
    return advanced;
  }

  return {endMs: () => running?.endMs, start, complete};
}
