import {answerPart} from '../../shared/expected_answer.js';
import {createBatch} from '../compute/batch.js';
import {sortByPriority} from '../compute/sort_by_priority.js';
import type {EngineConfig} from '../engine_config.js';
import type {EngineContext} from '../engine_context.js';
import type {EngineFaults} from '../engine_faults.js';
import type {ChatArrived} from '../events/chat_arrived.js';
import {BLOCK_TOKENS} from '../memory/block_tokens.js';
import type {KvMemory} from '../memory/kv_memory.js';
import {createCrossAnswersFault} from './cross_answers_fault.js';
import {RENEW_INTERVAL_MS, newStream} from './new_stream.js';
import {queuedPrefillTokens} from './queued_prefill_tokens.js';
import type {RefusalCode} from './refusal_code.js';
import {streamSessions} from './stream_sessions.js';
import type {StreamState} from './stream_state.js';
import type {StreamTable} from './stream_table.js';

/** Creates an empty table that allocates from `memory`. */
export function createStreamTable(
  cfg: EngineConfig,
  memory: KvMemory,
  faults: EngineFaults,
  isModelLoaded: (model: string) => boolean,
): StreamTable {
  const streams = new Map<string, StreamState>();
  const batch = createBatch(cfg);
  const crossAnswers = createCrossAnswersFault(faults);
  let arrivals = 0;

  function inPhase(phase: StreamState['phase']): StreamState[] {
    return [...streams.values()].filter(stream => stream.phase === phase);
  }

  function refusalCode(stream: StreamState): RefusalCode | undefined {
    if (faults.leaving) return 'leaving';
    if (!isModelLoaded(stream.request.model)) return 'model_not_loaded';
    if (stream.localTokens > cfg.kvCapacityTokens) return 'prompt_too_long';
    if (inPhase('waiting').length >= cfg.maxQueued) return 'full';
    return undefined;
  }

  function arrive(ctx: EngineContext, request: ChatArrived): void {
    arrivals += 1;
    const stream = newStream(cfg, request, arrivals, ctx.nowMs);
    const {callId, reservations} = request;
    const code = refusalCode(stream);
    if (code) {
      ctx.emit({kind: 'refuse', callId, code});
      return;
    }
    streams.set(callId, stream);
    if (faults.neverAnswer > 0 && ctx.random() < faults.neverAnswer) {
      stream.phase = 'stuck';
      stream.allocation = memory.allocate([], stream.localTokens);
    } else if (reservations.length > 0) {
      ctx.emit({kind: 'use_remote', callId, reservations});
    } else begin(ctx, stream);
  }

  function begin(ctx: EngineContext, stream: StreamState): void {
    stream.phase = 'waiting';
    const {sessionId, request} = stream;
    const {callId} = request;
    stream.request = crossAnswers.apply(ctx, request);
    const {reqId} = stream.request;
    ctx.emit({kind: 'begin_stream', callId, reqId, sessionId});
  }

  function reservationsSettled(
    ctx: EngineContext,
    callId: string,
    ok: boolean,
  ): void {
    const stream = streams.get(callId);
    if (!stream) return;
    if (ok) {
      if (stream.phase === 'confirming') begin(ctx, stream);
      return;
    }
    remove(ctx, stream);
    if (stream.phase === 'confirming') {
      ctx.emit({kind: 'refuse', callId, code: 'reservation_lost'});
    } else ctx.emit({kind: 'break_stream', callId});
  }

  // Every removal goes through here, so that memory is always released.
  function remove(ctx: EngineContext, stream: StreamState): void {
    streams.delete(stream.request.callId);
    if (stream.allocation) memory.release(stream.allocation);
    stream.allocation = undefined;
    const {reservations} = stream.request;
    if (reservations.length > 0) {
      ctx.emit({kind: 'release_remote', reservations});
    }
  }

  function abortStream(ctx: EngineContext, stream: StreamState): void {
    remove(ctx, stream);
    // The running batch step still holds the stream; `stuck` makes it skip it.
    stream.phase = 'stuck';
    ctx.emit({kind: 'break_stream', callId: stream.request.callId});
  }

  function expireAndRenew(ctx: EngineContext): void {
    for (const stream of [...streams.values()]) {
      const {callId, reservations} = stream.request;
      if (ctx.nowMs >= stream.expiresMs) abortStream(ctx, stream);
      else if (reservations.length > 0 && ctx.nowMs >= stream.nextRenewalMs) {
        stream.nextRenewalMs = ctx.nowMs + RENEW_INTERVAL_MS;
        ctx.emit({kind: 'use_remote', callId, reservations});
      }
    }
  }

  function admitWaiting(): void {
    let running = inPhase('prefill').length + inPhase('decode').length;
    let memoryExhausted = false;
    for (const stream of sortByPriority(
      inPhase('waiting'),
      cfg.usePriorities,
    )) {
      if (running >= cfg.maxBatch) return;
      // A fully reserved stream may hold what the blocked one waits for.
      if (memoryExhausted && stream.localTokens > 0) continue;
      const {prefixHashes} = stream.request;
      const allocation = memory.allocate(prefixHashes, stream.localTokens);
      if (!allocation) {
        memoryExhausted = true;
        continue;
      }
      running += 1;
      const cached = allocation.pinned.length * BLOCK_TOKENS;
      stream.allocation = allocation;
      // The last prompt token is always computed: it yields the first output.
      stream.prefilledTokens = Math.min(cached, stream.prefillTokens - 1);
      stream.phase = 'prefill';
    }
  }

  function sendToken(ctx: EngineContext, stream: StreamState): void {
    const {callId, promptHash, prefixHashes} = stream.request;
    const partLimit = faults.dieAfterParts;
    if (partLimit >= 0 && stream.partsSent >= partLimit) {
      abortStream(ctx, stream);
      return;
    }
    if (stream.allocation && stream.partsSent === 0) {
      memory.commit(stream.allocation, prefixHashes);
    }
    if (stream.nextSequence < stream.partCount) {
      const sequence = stream.nextSequence;
      const last = sequence === stream.partCount - 1;
      const text = answerPart(promptHash, sequence);
      stream.nextSequence += 1;
      stream.partsSent += 1;
      ctx.emit({kind: 'send_part', callId, sequence, text, last});
    }
    if (stream.nextSequence >= stream.partCount) {
      ctx.emit({kind: 'end_stream', callId, parts: stream.partCount});
      remove(ctx, stream);
    }
  }

  function advance(ctx: EngineContext): void {
    expireAndRenew(ctx);
    admitWaiting();
    let endMs = batch.endMs();
    while (endMs !== undefined && endMs <= ctx.nowMs) {
      for (const stream of batch.complete()) sendToken(ctx, stream);
      admitWaiting();
      batch.start(endMs, [...streams.values()], faults.slowFactor);
      endMs = batch.endMs();
    }
    if (endMs === undefined) {
      batch.start(ctx.nowMs, [...streams.values()], faults.slowFactor);
    }
  }

  return {
    arrive,
    reservationsSettled,
    clientGone: (ctx, callId) => {
      const stream = streams.get(callId);
      if (!stream) return;
      remove(ctx, stream);
      stream.phase = 'stuck';
    },
    deleteSession: (ctx, sessionId) => {
      const stream = [...streams.values()].find(
        candidate => candidate.sessionId === sessionId,
      );
      if (stream) abortStream(ctx, stream);
      return stream !== undefined;
    },
    advance,
    sessions: nowMs => streamSessions([...streams.values()], nowMs),
    queuedPrefillTokens: () => queuedPrefillTokens([...streams.values()]),
    decodeStreams: () => inPhase('decode').length,
    size: () => streams.size,
  };
}
