import type {EngineConfig} from '../engine_config.js';
import type {StreamState} from '../sessions/stream_state.js';
import type {BatchStep} from './batch_step.js';
import {decodeCostMs, prefillCostMs} from './cost_model.js';
import type {PrefillChunk} from './prefill_chunk.js';
import {sortByPriority} from './sort_by_priority.js';

/** Continuous batching with chunked prefill. */
export interface Batch {
  /** End of the running step; undefined if the batch is idle. */
  endMs(): number | undefined;
  /** Starts a step unless no stream has work. */
  start(nowMs: number, streams: StreamState[], slowFactor: number): void;
  /** Ends the running step; returns the streams with a new token. */
  complete(): StreamState[];
}

/** Creates an idle batch. */
export function createBatch(cfg: EngineConfig): Batch {
  let running: BatchStep | undefined;

  function selectChunks(streams: StreamState[]): PrefillChunk[] {
    const chunks: PrefillChunk[] = [];
    let budget = cfg.chunkTokens;
    const prefilling = streams.filter(({phase}) => phase === 'prefill');
    for (const stream of sortByPriority(prefilling, cfg.usePriorities)) {
      if (budget === 0) break;
      const remaining = stream.prefillTokens - stream.prefilledTokens;
      const tokens = Math.min(budget, remaining);
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
    const chunks = selectChunks(streams);
    const decoding = streams.filter(({phase}) => phase === 'decode');
    if (chunks.length === 0 && decoding.length === 0) return;
    let costMs = decodeCostMs(cfg.cost, decoding.length);
    for (const {stream, tokens} of chunks) {
      const engines = 1 + stream.request.reservations.length;
      costMs +=
        prefillCostMs(cfg.cost, stream.prefilledTokens, tokens) / engines;
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
      stream.prefilledTokens += tokens;
      if (stream.prefilledTokens < stream.prefillTokens) continue;
      stream.phase = 'decode';
      advanced.push(stream);
    }
    return advanced;
  }

  return {endMs: () => running?.endMs, start, complete};
}
