import type {EngineSession} from '@wisterialadder/core/types/engine_session.js';
import type {EngineContext} from '../engine_context.js';
import type {ChatArrived} from '../events/chat_arrived.js';

/** Streams of an engine, from acceptance to the end marker. */
export interface StreamTable {
  arrive(ctx: EngineContext, request: ChatArrived): void;
  /** The other engines have confirmed the reservations, or have not. */
  attached(ctx: EngineContext, callId: string, ok: boolean): void;
  clientGone(ctx: EngineContext, callId: string): void;
  /** False if there is no such stream. */
  deleteSession(ctx: EngineContext, sessionId: string): boolean;
  /** Carries out all simulated work up to now. */
  advance(ctx: EngineContext): void;
  sessions(nowMs: number): EngineSession[];
  queuedPrefillTokens(): number;
  decodeStreams(): number;
  size(): number;
}
