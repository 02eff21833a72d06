import {createHash} from 'node:crypto';
import {
  answerLength,
  answerPart,
  promptHash,
} from '../../shared/expected_answer.js';
import type {LoadEvent} from '../load_event.js';
import type {PlannedRequest} from '../requests/planned_request.js';

/** Parts of the correct answer to a prompt. */
export function correctParts(prompt: string, maxTokens: number): string[] {
  const hash = promptHash(prompt);
  return Array.from({length: answerLength(hash, maxTokens)}, (_, i) =>
    answerPart(hash, i),
  );
}

/** Events of a complete and correct answer. */
export function correctAnswerEvents(request: PlannedRequest): LoadEvent[] {
  const {id} = request;
  if (request.kind === 'service') {
    const bodyHash = createHash('sha256').update(request.body).digest('hex');
    return [{kind: 'call_answered', id, bodyHash}];
  }
  const parts = correctParts(request.prompt, request.maxTokens);
  return [
    ...parts.map((text): LoadEvent => ({kind: 'part_arrived', id, text})),
    {kind: 'answer_ended', id},
  ];
}
