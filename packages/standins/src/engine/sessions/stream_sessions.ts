import type {EngineSession} from '@wisterialadder/core/types/engine_session.js';
import type {StreamState} from './stream_state.js';

/** Streams as the load report lists them. */
export function streamSessions(
  streams: StreamState[],
  nowMs: number,
): EngineSession[] {
  return streams.map(stream => ({
    id: stream.sessionId,
    kind: 'stream',
    owner: stream.request.owner,
    reqId: stream.request.reqId,
    tokens: stream.holding ? stream.localTokens : 0,
    ageMs: Math.round(nowMs - stream.arrivedMs),
  }));
}
