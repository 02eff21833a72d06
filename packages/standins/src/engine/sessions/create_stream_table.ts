import {answerPart} from '../../shared/expected_answer.js';
import {createBatch} from '../compute/batch.js';
import {sortByTurn} from '../compute/sort_by_turn.js';
import type {EngineConfig} from '../engine_config.js';
import type {EngineContext} from '../engine_context.js';
import type {EngineFaults} from '../engine_faults.js';
import type {ChatArrived} from '../events/chat_arrived.js';
import {BLOCK_TOKENS} from '../memory/block_tokens.js';
import type {KvMemory} from '../memory/kv_memory.js';
import {createAnswerCrossing} from './answer_crossing.js';
import {RENEW_INTERVAL_MS, newStream} from './new_stream.js';
import {queuedTokens} from './queued_tokens.js';
import type {RefusalCode} from './refusal_code.js';
import {streamSessions} from './stream_sessions.js';
import type {StreamState} from './stream_state.js';
import type {StreamTable} from './stream_table.js';

/** Creates an empty table over the engine's memory. */
export function createStreamTable(
  cfg: EngineConfig,
  memory: KvMemory,
  faults: EngineFaults,
  holdsModel: (model: string) => boolean,
): StreamTable {
  const streams = new Map<string, StreamState>();
  const batch = createBatch(cfg);
  const crossing = createAnswerCrossing(faults);
  let arrivals = 0;

  function inPhase(phase: StreamState['phase']): StreamState[] {
    return [...streams.values()].filter(stream => stream.phase === phase);
  }

  function refusalOf(stream: StreamState): RefusalCode | undefined {
    if (faults.leaving) return 'leaving';
    if (!holdsModel(stream.request.model)) return 'model_not_loaded';
    if (stream.localTokens > cfg.kvCapacityTokens) return 'prompt_too_long';
    if (inPhase('waiting').length >= cfg.maxQueued) return 'full';
    return undefined;
  }

  function arrive(ctx: EngineContext, request: ChatArrived): void {
    arrivals += 1;
    const stream = newStream(cfg, request, arrivals, ctx.nowMs);
    const {callId, reservations} = request;
    const code = refusalOf(stream);
    if (code) {
      ctx.emit({kind: 'refuse', callId, code});
      return;
    }
    streams.set(callId, stream);
    if (faults.neverAnswer > 0 && ctx.random() < faults.neverAnswer) {
      stream.phase = 'stuck';
      stream.holding = memory.admit([], stream.localTokens);
    } else if (reservations.length > 0) {
      ctx.emit({kind: 'use_remote', callId, reservations});
    } else begin(ctx, stream);
  }

  function begin(ctx: EngineContext, stream: StreamState): void {
    stream.phase = 'waiting';
    const {sessionId, request} = stream;
    const {callId} = request;
    stream.request = crossing.apply(ctx, request);
    const {reqId} = stream.request;
    ctx.emit({kind: 'begin_stream', callId, reqId, sessionId});
  }

  function attached(ctx: EngineContext, callId: string, ok: boolean): void {
    const stream = streams.get(callId);
    if (!stream) return;
    if (ok) {
      if (stream.phase === 'attaching') begin(ctx, stream);
      return;
    }
    remove(ctx, stream);
    if (stream.phase === 'attaching') {
      ctx.emit({kind: 'refuse', callId, code: 'reservation_lost'});
    } else ctx.emit({kind: 'break_stream', callId});
  }

  // The only way out of the table, so that no path keeps memory.
  function remove(ctx: EngineContext, stream: StreamState): void {
    streams.delete(stream.request.callId);
    if (stream.holding) memory.release(stream.holding);
    stream.holding = undefined;
    const {reservations} = stream.request;
    if (reservations.length > 0) {
      ctx.emit({kind: 'release_remote', reservations});
    }
  }

  function breakOff(ctx: EngineContext, stream: StreamState): void {
    remove(ctx, stream);
    // A step that is running still counts this stream until it ends.
    stream.phase = 'stuck';
    ctx.emit({kind: 'break_stream', callId: stream.request.callId});
  }

  function watch(ctx: EngineContext): void {
    for (const stream of [...streams.values()]) {
      const {callId, reservations} = stream.request;
      if (ctx.nowMs >= stream.expiresMs) breakOff(ctx, stream);
      else if (reservations.length > 0 && ctx.nowMs >= stream.renewMs) {
        stream.renewMs = ctx.nowMs + RENEW_INTERVAL_MS;
        ctx.emit({kind: 'use_remote', callId, reservations});
      }
    }
  }

  function admit(): void {
    let running = inPhase('prefill').length + inPhase('decode').length;
    let memoryShort = false;
    for (const stream of sortByTurn(inPhase('waiting'), cfg.usePriorities)) {
      if (running >= cfg.maxBatch) return;
      // The memory that one waits for may be what the other has reserved.
      if (memoryShort && stream.localTokens > 0) continue;
      const {prefixHashes} = stream.request;
      const holding = memory.admit(prefixHashes, stream.localTokens);
      if (!holding) {
        memoryShort = true;
        continue;
      }
      running += 1;
      const cached = holding.pinned.length * BLOCK_TOKENS;
      stream.holding = holding;
      // The last token is always computed; it yields the first output.
      stream.position = Math.min(cached, stream.prefillTokens - 1);
      stream.phase = 'prefill';
    }
  }

  function sendToken(ctx: EngineContext, stream: StreamState): void {
    const {callId, promptHash, prefixHashes} = stream.request;
    const die = faults.dieAfterParts;
    if (die >= 0 && stream.partsSent >= die) {
      breakOff(ctx, stream);
      return;
    }
    if (stream.holding && stream.partsSent === 0) {
      memory.commit(stream.holding, prefixHashes);
    }
    if (stream.nextSequence < stream.length) {
      const sequence = stream.nextSequence;
      const last = sequence === stream.length - 1;
      const text = answerPart(promptHash, sequence);
      stream.nextSequence += 1;
      stream.partsSent += 1;
      ctx.emit({kind: 'send_part', callId, sequence, text, last});
    }
    if (stream.nextSequence >= stream.length) {
      ctx.emit({kind: 'end_stream', callId, parts: stream.length});
      remove(ctx, stream);
    }
  }

  function advance(ctx: EngineContext): void {
    watch(ctx);
    admit();
    let endMs = batch.endMs();
    while (endMs !== undefined && endMs <= ctx.nowMs) {
      for (const stream of batch.complete()) sendToken(ctx, stream);
      admit();
      batch.start(endMs, [...streams.values()], faults.slowFactor);
      endMs = batch.endMs();
    }
    if (endMs === undefined) {
      batch.start(ctx.nowMs, [...streams.values()], faults.slowFactor);
    }
  }

  return {
    arrive,
    attached,
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
      if (stream) breakOff(ctx, stream);
      return stream !== undefined;
    },
    advance,
    sessions: nowMs => streamSessions([...streams.values()], nowMs),
    queuedPrefillTokens: () => queuedTokens([...streams.values()]),
    decodeStreams: () => inPhase('decode').length,
    size: () => streams.size,
  };
}
