import {prefixHashes} from '@wisterialadder/runtime/prompt/prefix_hashes.js';
import {promptTokens} from '@wisterialadder/runtime/prompt/prompt_tokens.js';
import {promptHash} from '../../shared/expected_answer.js';
import type {ChatArrived} from '../events/chat_arrived.js';

/** Creates a request with a prompt of the given number of tokens. */
export function chatArrived(
  callId: string,
  tokens: number,
  overrides: Partial<ChatArrived> = {},
): ChatArrived {
  const prompt = `${callId} `.padEnd(tokens * 4, 'wheat ');
  return {
    kind: 'chat_arrived',
    callId,
    reqId: `req-${callId}`,
    owner: '127.0.0.1:7001#1',
    model: 'coder',
    promptHash: promptHash(prompt),
    promptTokens: promptTokens(prompt),
    prefixHashes: prefixHashes(prompt),
    maxTokens: 8,
    resumeFrom: 0,
    priority: 5,
    timeoutMs: 0,
    reservations: [],
    ...overrides,
  };
}
