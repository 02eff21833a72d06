import {createHash} from 'node:crypto';
import {createAnswerVerifier} from '../answers/answer_verifier.js';
import type {ObservedOutcome} from '../answers/observed_outcome.js';
import type {EndedRequest} from './ended_request.js';
import type {OpenRequest} from './open_request.js';
import type {PlannedRequest} from './planned_request.js';

/** Requests in flight. */
export interface OpenRequests {
  sent(nowMs: number, request: PlannedRequest): void;
  part(nowMs: number, id: string, text: string): void;
  /** Verifies an answer that has ended; undefined if not in flight. */
  ended(nowMs: number, id: string, bodyHash?: string): EndedRequest | undefined;
  /** Ends a request without a complete answer. */
  failed(
    nowMs: number,
    id: string,
    outcome: ObservedOutcome,
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
      // Drops the prompt, which may take megabytes and is not needed further.
      request: chat ? {...request, prompt: ''} : request,
      sentMs: nowMs,
      firstPartMs: undefined,
      verifier: chat
        ? createAnswerVerifier(request.prompt, request.maxTokens)
        : undefined,
      bodyHash: chat
        ? ''
        : createHash('sha256').update(request.body).digest('hex'),
    });
  }

  function close(
    nowMs: number,
    entry: OpenRequest,
    outcome: ObservedOutcome,
    code: string,
  ): EndedRequest {
    const {request, sentMs, firstPartMs} = entry;
    open.delete(request.id);
    const firstTokenMs =
      firstPartMs === undefined ? undefined : firstPartMs - sentMs;
    return {request, outcome, code, firstTokenMs, totalMs: nowMs - sentMs};
  }

  return {
    sent,
    part: (nowMs, id, text) => {
      const entry = open.get(id);
      entry?.verifier?.add(text);
      if (entry) entry.firstPartMs ??= nowMs;
    },
    ended: (nowMs, id, bodyHash = '') => {
      const entry = open.get(id);
      if (!entry) return undefined;
      const valid = entry.verifier?.complete() ?? entry.bodyHash === bodyHash;
      const code = entry.verifier?.matches() ? 'incomplete' : 'mismatch';
      return valid
        ? close(nowMs, entry, 'completed', '')
        : close(nowMs, entry, 'wrong_answer', code);
    },
    failed: (nowMs, id, outcome, code) => {
      const entry = open.get(id);
      if (!entry) return undefined;
      // Text of another answer is a fault even if the answer is incomplete.
      return entry.verifier?.matches() === false
        ? close(nowMs, entry, 'wrong_answer', 'mismatch')
        : close(nowMs, entry, outcome, code);
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
