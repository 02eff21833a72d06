import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createSseParser} from './sse_parser.js';

const SEED = 20_261_204;
const LINE = fc
  .string({maxLength: 20})
  .map(text => text.replace(/[\r\n]/g, ''));
const EVENT = fc.record({id: fc.nat(), data: fc.array(LINE, {minLength: 1})});

test('events survive any split of the byte stream', () => {
  fc.assert(
    fc.property(fc.array(EVENT), fc.array(fc.nat(12)), (events, cuts) => {
      const text = events
        .map(({id, data}) => {
          const lines = data.map(line => `data: ${line}\n`).join('');
          return `id: ${id}\n${lines}\n`;
        })
        .join('');
      const parser = createSseParser();
      const parsed = split(text, cuts).flatMap(part => parser.feed(part));
      assert.deepEqual(
        parsed.map(({id, data}) => ({id, data})),
        events.map(({id, data}) => ({id: String(id), data: data.join('\n')})),
      );
    }),
    {seed: SEED},
  );
});

test('arbitrary text does not stop the parser', () => {
  fc.assert(
    fc.property(fc.array(fc.string()), parts => {
      const parser = createSseParser();
      for (const part of parts) parser.feed(part);
    }),
    {seed: SEED},
  );
});

function split(text: string, cuts: number[]): string[] {
  const parts: string[] = [];
  let rest = text;
  for (const cut of cuts) {
    parts.push(rest.slice(0, cut));
    rest = rest.slice(cut);
  }
  return [...parts, rest];
}
