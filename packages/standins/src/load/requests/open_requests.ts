import {createHash} from 'node:crypto';
import {createAnswerCheck} from '../answers/answer_check.js';
import type {FinalKind} from '../answers/final_kind.js';
import type {EndedRequest} from './ended_request.js';
import type {OpenRequest} from './open_request.js';
import type {PlannedRequest} from './planned_request.js';

/** Requests in flight. */
export interface OpenRequests {
  sent(nowMs: number, request: PlannedRequest): void;
  part(nowMs: number, id: string, text: string): void;
  /** Judges a whole answer; undefined if the request is not open. */
  ended(nowMs: number, id: string, bodyHash?: string): EndedRequest | undefined;
  /** Ends a request without a whole answer. */
  failed(
    nowMs: number,
    id: string,
    kind: FinalKind,
    code: string,
  ): EndedRequest | undefined;
  /** Ids of requests whose timeout passed `graceMs` ago. */
  overdue(nowMs: number, graceMs: number): string[];
  size(): number;
}

/** Creates an empty set. */
export function createOpenRequests(): OpenRequests {
  const open = new Map<string, OpenRequest>();

  function sent(nowMs: number, request: PlannedRequest): void {
    const chat = request.kind === 'chat';
    open.set(request.id, {
      // The prompt may take megabytes and is not needed any more.
      request: chat ? {...request, prompt: ''} : request,
      sentMs: nowMs,
      firstPartMs: undefined,
      check: chat
        ? createAnswerCheck(request.prompt, request.maxTokens)
        : undefined,
      bodyHash: chat
        ? ''
        : createHash('sha256').update(request.body).digest('hex'),
    });
  }

  function close(
    nowMs: number,
    item: OpenRequest,
    kind: FinalKind,
    code: string,
  ): EndedRequest {
    const {request, sentMs, firstPartMs} = item;
    open.delete(request.id);
    const firstTokenMs =
      firstPartMs === undefined ? undefined : firstPartMs - sentMs;
    return {request, kind, code, firstTokenMs, totalMs: nowMs - sentMs};
  }

  return {
    sent,
    part: (nowMs, id, text) => {
      const item = open.get(id);
      item?.check?.add(text);
      if (item) item.firstPartMs ??= nowMs;
    },
    ended: (nowMs, id, bodyHash = '') => {
      const item = open.get(id);
      if (!item) return undefined;
      const right = item.check?.complete() ?? item.bodyHash === bodyHash;
      const code = item.check?.matches() ? 'incomplete' : 'mismatch';
      return right
        ? close(nowMs, item, 'completed', '')
        : close(nowMs, item, 'wrong_answer', code);
    },
    failed: (nowMs, id, kind, code) => {
      const item = open.get(id);
      if (!item) return undefined;
      // A part of another answer is a fault even if the rest is missing.
      return item.check?.matches() === false
        ? close(nowMs, item, 'wrong_answer', 'mismatch')
        : close(nowMs, item, kind, code);
    },
    overdue: (nowMs, graceMs) =>
      [...open.values()]
        .filter(({request, sentMs}) => {
          return nowMs >= sentMs + request.timeoutMs + graceMs;
        })
        .map(({request}) => request.id),
    size: () => open.size,
  };
}
