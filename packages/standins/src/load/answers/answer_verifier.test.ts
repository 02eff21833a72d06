import assert from 'node:assert/strict';
import {test} from 'node:test';
import {correctParts} from '../mocks/answers.js';
import {createAnswerVerifier} from './answer_verifier.js';

function verify(parts: string[]) {
  const verifier = createAnswerVerifier('lentils', 20);
  for (const part of parts) verifier.add(part);
  return {matches: verifier.matches(), complete: verifier.complete()};
}

const PARTS = correctParts('lentils', 20);

test('parts may be split and joined in transit', () => {
  const text = PARTS.join('');
  const pieces = [text.slice(0, 5), text.slice(5, 30), text.slice(30)];
  assert.deepEqual(verify(pieces), {matches: true, complete: true});
});

test('a missing, repeated, foreign or additional part is detected', () => {
  const tail = verify(PARTS.slice(0, -1));
  assert.deepEqual(tail, {matches: true, complete: false});
  const wrong = [
    PARTS.filter((_, i) => i !== 2),
    PARTS.flatMap((part, i) => (i === 2 ? [part, part] : [part])),
    PARTS.map((part, i) => (i === 2 ? (correctParts('x', 20)[2] ?? '') : part)),
    [...PARTS, 'x'],
  ];
  for (const parts of wrong) {
    assert.deepEqual(verify(parts), {matches: false, complete: false});
  }
});
