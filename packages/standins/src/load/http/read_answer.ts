import type {Dispatcher} from 'undici';
import {parseJson} from '../../shared/parse_json.js';
import type {LoadEvent} from '../load_event.js';
import {
  CALL_ANSWER_SCHEMA,
  CHUNK_SCHEMA,
  OUTCOME_SCHEMA,
  REFUSAL_SCHEMA,
} from './caller_schemas.js';
import type {SseEvent} from './sse_event.js';
import {createSseReader} from './sse_reader.js';

/** Reads a streamed answer up to its end marker or outcome. */
export async function readStream(
  id: string,
  res: Dispatcher.ResponseData,
  push: (event: LoadEvent) => void,
): Promise<void> {
  const reader = createSseReader();
  for await (const bytes of res.body as AsyncIterable<Uint8Array>) {
    for (const event of reader.add(bytes)) push(toLoadEvent(id, event));
  }
  // Has no effect if an end marker or outcome has ended the request.
  push({kind: 'connection_ended', id, reason: 'broken'});
}

function toLoadEvent(id: string, {event, data}: SseEvent): LoadEvent {
  if (event === 'wl-outcome') {
    const stated = parseJson(data, OUTCOME_SCHEMA);
    return stated.ok
      ? {kind: 'outcome_stated', id, ...stated.val}
      : {kind: 'connection_ended', id, reason: 'broken'};
  }
  if (data === '[DONE]') return {kind: 'answer_ended', id};
  const chunk = parseJson(data, CHUNK_SCHEMA);
  const text = chunk.ok ? chunk.val.choices[0]?.delta.content : data;
  return {kind: 'part_arrived', id, text: text ?? ''};
}

/** Reads a service's answer. */
export async function readServiceAnswer(
  id: string,
  res: Dispatcher.ResponseData,
): Promise<LoadEvent> {
  const answer = parseJson(await res.body.text(), CALL_ANSWER_SCHEMA);
  const bodyHash = answer.ok ? answer.val.bodyHash : '';
  return {kind: 'call_answered', id, bodyHash};
}

/** Reads a refusal; without an outcome, the HTTP status names it. */
export async function readRefusal(
  id: string,
  res: Dispatcher.ResponseData,
): Promise<LoadEvent> {
  const body = parseJson(await res.body.text(), REFUSAL_SCHEMA);
  const headerValue = res.headers['wl-outcome'];
  const stated = body.ok ? body.val : {};
  const headerOutcome =
    typeof headerValue === 'string' ? headerValue : undefined;
  const outcome = headerOutcome ?? stated.outcome ?? `http_${res.statusCode}`;
  return {kind: 'outcome_stated', id, outcome, code: stated.error?.code ?? ''};
}
