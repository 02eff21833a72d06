import assert from 'node:assert/strict';
import {test} from 'node:test';
import {rightParts} from '../mocks/answers.js';
import {createAnswerCheck} from './answer_check.js';

function check(parts: string[]) {
  const answer = createAnswerCheck('lentils', 20);
  for (const part of parts) answer.add(part);
  return {matches: answer.matches(), complete: answer.complete()};
}

const PARTS = rightParts('lentils', 20);

test('parts may be split and joined on the way', () => {
  const text = PARTS.join('');
  const pieces = [text.slice(0, 5), text.slice(5, 30), text.slice(30)];
  assert.deepEqual(check(pieces), {matches: true, complete: true});
});

test('a missing, repeated, foreign or additional part is seen', () => {
  const tail = check(PARTS.slice(0, -1));
  assert.deepEqual(tail, {matches: true, complete: false});
  const wrong = [
    PARTS.filter((_, i) => i !== 2),
    PARTS.flatMap((part, i) => (i === 2 ? [part, part] : [part])),
    PARTS.map((part, i) => (i === 2 ? (rightParts('x', 20)[2] ?? '') : part)),
    [...PARTS, 'x'],
  ];
  for (const parts of wrong) {
    assert.deepEqual(check(parts), {matches: false, complete: false});
  }
});
