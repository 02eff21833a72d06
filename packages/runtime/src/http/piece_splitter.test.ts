// Guards against a piece that begins two requests: the parser would go on with
// the second one while the first has no answer.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {fuzzRuns} from '@wisterialadder/core/mocks/fuzz_runs.js';
import {createPieceSplitter, MAX_PIECE_BYTES} from './piece_splitter.js';

/** Splits a text that arrives in the given parts. */
function pieces(parts: readonly string[]): string[] {
  const splitter = createPieceSplitter();
  return parts.flatMap(part => {
    const found: string[] = [];
    for (let bytes = Buffer.from(part, 'latin1'); bytes.length > 0;) {
      const length = splitter.next(bytes);
      found.push(bytes.toString('latin1', 0, length));
      bytes = bytes.subarray(length);
    }
    return found;
  });
}

test('a piece ends behind the first empty line', () => {
  const [first, second] = ['GET / HTTP/1.1\r\na: b\r\n\r\n', 'GET /c\n\n'];
  assert.deepEqual(pieces([`${first}${second}x`]), [first, second, 'x']);
});

test('an empty line that arrives in parts ends a piece as well', () => {
  for (const parts of [
    ['a\r\n', '\r\nb'],
    ['a\r\n\r', '\nb'],
    ['a\r', '\n\r\nb'],
    ['a\n', '\nb'],
    ['a', '\r', '\n', '\r', '\n', 'b'],
  ]) {
    assert.equal(pieces(parts).at(-1), 'b', JSON.stringify(parts));
  }
});

/** Positions behind the empty lines of a text. */
function emptyLineEnds(text: string): number[] {
  const ends = Array.from(text, (_, i) => i + 1);
  return ends.filter(end => /\n\r?\n$/.test(text.slice(0, end)));
}

test('no piece holds bytes behind an empty line, however they arrive', () => {
  const part = fc.string({
    unit: fc.constantFrom('\r', '\n', 'a'),
    maxLength: 9,
  });
  fc.assert(
    fc.property(fc.array(part, {maxLength: 8}), parts => {
      const found = pieces(parts);
      const text = parts.join('');
      assert.equal(found.join(''), text);
      let end = 0;
      const ends = new Set(found.map(piece => (end += piece.length)));
      for (const emptyLineEnd of emptyLineEnds(text)) {
        assert.ok(ends.has(emptyLineEnd), JSON.stringify(found));
      }
    }),
    fuzzRuns(500),
  );
});

test('bytes without an empty line are split into pieces of limited length', () => {
  const lengths = pieces(['x'.repeat(MAX_PIECE_BYTES + 1)]).map(p => p.length);
  assert.deepEqual(lengths, [MAX_PIECE_BYTES, 1]);
});
