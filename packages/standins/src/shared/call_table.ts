import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import {sendJson} from '@wisterialadder/runtime/http/send_json.js';

/** HTTP calls that wait for a response from the node. */
export interface CallTable {
  /** Returns the call's id; `onGone` runs if the client closes first. */
  open(res: ServerResponse, onGone?: (callId: string) => void): string;
  /** The response of an open call. */
  get(callId: string): ServerResponse | undefined;
  /** Sends a JSON response; no effect if the client has closed. */
  answer(
    callId: string,
    status: number,
    body: unknown,
    headers?: OutgoingHttpHeaders,
  ): void;
  /** Ends a streamed response with `lastText`. */
  end(callId: string, lastText: string): void;
  /** Closes the connection without ending the response. */
  close(callId: string): void;
}

/** Creates an empty table. */
export function createCallTable(): CallTable {
  const calls = new Map<string, ServerResponse>();
  let lastNumber = 0;

  function take(callId: string): ServerResponse | undefined {
    const res = calls.get(callId);
    calls.delete(callId);
    return res;
  }

  return {
    open: (res, onGone) => {
      lastNumber += 1;
      const callId = `call-${lastNumber}`;
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
