import type {EngineSession} from '@wisterialadder/core/types/engine_session.js';
import type {EngineContext} from '../engine_context.js';
import type {ChatArrived} from '../events/chat_arrived.js';

/** Streams of an engine, from acceptance to the end marker. */
export interface StreamTable {
  arrive(ctx: EngineContext, request: ChatArrived): void;
  /** Handles the result of confirming the remote reservations. */
  reservationsSettled(ctx: EngineContext, callId: string, ok: boolean): void;
  clientGone(ctx: EngineContext, callId: string): void;
  /** False if there is no such stream. */
  deleteSession(ctx: EngineContext, sessionId: string): boolean;
  /** Runs all simulated work that is due. */
  advance(ctx: EngineContext): void;
  sessions(nowMs: number): EngineSession[];
  queuedPrefillTokens(): number;
  decodeStreams(): number;
  size(): number;
}
