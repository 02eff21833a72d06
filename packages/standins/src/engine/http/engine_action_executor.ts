import type {CallTable} from '../../shared/call_table.js';
import type {EngineAction} from '../actions/engine_action.js';
import type {EngineEvent} from '../events/engine_event.js';
import {chatChunk, endMarker} from './chat_chunk.js';
import {releaseReservations, useReservations} from './remote_engines.js';
import {fetchWeights} from './weight_store.js';

/** Buffered bytes at which a client that does not read is disconnected. */
const MAX_UNSENT_BYTES = 4 * 1_024 * 1_024;
const RETRY_AFTER_S = 1;

/** Creates the function that executes an engine's actions. */
export function createEngineActionExecutor(
  calls: CallTable,
  storeUrl: string,
  push: (event: EngineEvent) => void,
  exit: () => void,
): (action: EngineAction) => void {
  return action => {
    switch (action.kind) {
      case 'answer':
        calls.answer(action.callId, action.status, action.body);
        return;
      case 'begin_stream':
        calls.get(action.callId)?.writeHead(200, {
          'content-type': 'text/event-stream',
          'cache-control': 'no-cache',
          'wl-session-id': action.sessionId,
          'wl-request-id': action.reqId,
        });
        calls.get(action.callId)?.flushHeaders();
        return;
      case 'send_part': {
        const res = calls.get(action.callId);
        if (!res) return;
        res.write(chatChunk(action));
        if (res.writableLength > MAX_UNSENT_BYTES) res.destroy();
        return;
      }
      case 'end_stream':
        calls.end(action.callId, endMarker(action.parts));
        return;
      case 'break_stream':
        calls.close(action.callId);
        return;
      case 'refuse': {
        const {callId, code} = action;
        calls.answer(
          callId,
          503,
          {error: {code, message: 'not run'}},
          {
            'wl-not-run': 'true',
            'wl-leaving': String(code === 'leaving'),
            'retry-after': String(RETRY_AFTER_S),
          },
        );
        return;
      }
      case 'use_remote': {
        const {callId, reservations} = action;
        void useReservations(reservations).then(ok =>
          push({kind: 'remote_settled', callId, ok}),
        );
        return;
      }
      case 'release_remote':
        void releaseReservations(action.reservations);
        return;
      case 'fetch_weights': {
        const {model} = action;
        void fetchWeights(storeUrl, model).then(ok =>
          push({kind: 'weights_settled', model, ok}),
        );
        return;
      }
      case 'exit':
        exit();
    }
  };
}
