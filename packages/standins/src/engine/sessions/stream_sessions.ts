import type {EngineSession} from '@wisterialadder/core/types/engine_session.js';
import type {StreamState} from './stream_state.js';

/** Streams as sessions of the load report. */
export function streamSessions(
  streams: StreamState[],
  nowMs: number,
): EngineSession[] {
  return streams.map(stream => ({
    id: stream.sessionId,
    kind: 'stream',
    owner: stream.request.owner,
    reqId: stream.request.reqId,
    tokens: stream.allocation ? stream.localTokens : 0,
    ageMs: Math.round(nowMs - stream.arrivedMs),
  }));
}
