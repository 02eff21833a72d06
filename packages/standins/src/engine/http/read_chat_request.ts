import type {IncomingMessage} from 'node:http';
import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import {prefixHashes} from '@wisterialadder/runtime/prompt/prefix_hashes.js';
import {promptText} from '@wisterialadder/runtime/prompt/prompt_text.js';
import {promptTokens} from '@wisterialadder/runtime/prompt/prompt_tokens.js';
import {parseJson} from '../../shared/parse_json.js';
import {promptHash} from '../../shared/expected_answer.js';
import {header, numberHeader} from '../../shared/header.js';
import {readJson} from '../../shared/read_json.js';
import type {ChatArrived} from '../events/chat_arrived.js';
import {CHAT_SCHEMA} from './chat_schema.js';
import {RESERVATIONS_SCHEMA} from './reservations_schema.js';

/** Lowest priority, for requests without one. */
const DEFAULT_PRIORITY = 9;

/** Parses a chat-completion request; the error text is for the client. */
export async function readChatRequest(
  req: IncomingMessage,
): Promise<Result<Omit<ChatArrived, 'callId'>, string>> {
  const body = await readJson(req, CHAT_SCHEMA);
  if (!body.ok) return Err(body.val);
  const {model, messages, max_tokens: maxTokens} = body.val;
  const reservations = parseJson(
    header(req, 'wl-reservations') || '[]',
    RESERVATIONS_SCHEMA,
  );
  if (!reservations.ok) return Err(`wl-reservations: ${reservations.val}`);
  const prompt = promptText(messages);
  return Ok({
    kind: 'chat_arrived',
    reqId: header(req, 'wl-request-id'),
    owner: header(req, 'wl-owner'),
    model,
    promptHash: promptHash(prompt),
    promptTokens: Math.max(1, promptTokens(prompt)),
    prefixHashes: prefixHashes(prompt),
    maxTokens,
    resumeFrom: Math.max(0, numberHeader(req, 'wl-resume-from', 0)),
    priority: numberHeader(req, 'wl-priority', DEFAULT_PRIORITY),
    timeoutMs: numberHeader(req, 'wl-timeout-ms', 0),
    reservations: reservations.val,
  });
}
