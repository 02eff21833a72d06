import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fuzzRuns} from '@wisterialadder/core/mocks/fuzz_runs.js';
import fc from 'fast-check';
import {createPieceFramer} from './piece_framer.js';

const LINE = fc.stringMatching(/^[a-z: 0-9]{0,12}$/);
const EVENT = fc
  .record({
    id: fc.integer({min: 1, max: 99_999}),
    before: fc.array(
      LINE.map(line => `x${line}`),
      {maxLength: 2},
    ),
    data: LINE,
    end: fc.constantFrom('\n', '\r\n'),
  })
  .map(({id, before, data, end}) => ({
    id,
    text: [...before, `id: ${id}`, `data: ${data}`, '', ''].join(end),
  }));

/** Splits bytes into chunks at the given positions. */
function split(bytes: Buffer, positions: number[]): Buffer[] {
  const bounds = [
    0,
    ...positions.map(p => p % (bytes.length + 1)),
    bytes.length,
  ];
  bounds.sort((a, b) => a - b);
  return bounds.slice(1).map((end, i) => bytes.subarray(bounds[i], end));
}

test('events are complete and unchanged wherever the bytes are split', () => {
  fc.assert(
    fc.property(
      fc.array(EVENT, {maxLength: 6}),
      fc.array(fc.nat(1_000), {maxLength: 8}),
      LINE.map(line => `x${line}`),
      (events, positions, tail) => {
        const text = events.map(event => event.text).join('') + tail;
        const framer = createPieceFramer();
        const pieces = split(Buffer.from(text), positions).flatMap(chunk =>
          framer.feed(chunk),
        );
        assert.deepEqual(
          pieces.map(({id, payload}) => ({id, text: payload.toString()})),
          events,
        );
        assert.equal(framer.pendingBytes(), tail.length);
      },
    ),
    fuzzRuns(500),
  );
});

test('an event beyond the size limit is rejected', () => {
  const framer = createPieceFramer();
  const part = Buffer.alloc(300_000, 'x');
  assert.throws(() => {
    for (let i = 0; i < 8; i++) framer.feed(part);
  });
});
