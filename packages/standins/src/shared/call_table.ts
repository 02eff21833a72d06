import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import {sendJson} from '@wisterialadder/runtime/http/send_json.js';

/** HTTP calls that wait for an answer of the node. */
export interface CallTable {
  /** Returns the call's id; `onGone` runs if the client leaves first. */
  open(res: ServerResponse, onGone?: (callId: string) => void): string;
  /** The response of an open call. */
  get(callId: string): ServerResponse | undefined;
  /** Sends JSON and closes the call; nothing if the client has left. */
  answer(
    callId: string,
    status: number,
    body: unknown,
    headers?: OutgoingHttpHeaders,
  ): void;
  /** Ends a streamed answer. */
  end(callId: string, lastText: string): void;
  /** Breaks the connection without an answer. */
  close(callId: string): void;
}

/** Creates an empty table. */
export function createCallTable(): CallTable {
  const calls = new Map<string, ServerResponse>();
  let opened = 0;

  function take(callId: string): ServerResponse | undefined {
    const res = calls.get(callId);
    calls.delete(callId);
    return res;
  }

  return {
    open: (res, onGone) => {
      opened += 1;
      const callId = `call-${opened}`;
      calls.set(callId, res);
      res.on('close', () => {
        if (calls.delete(callId)) onGone?.(callId);
      });
      return callId;
    },
    get: callId => calls.get(callId),
    answer: (callId, status, body, headers) => {
      const res = take(callId);
      if (res) sendJson(res, status, body, headers);
    },
    end: (callId, lastText) => {
      take(callId)?.end(lastText);
    },
    close: callId => {
      take(callId)?.destroy();
    },
  };
}
