import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createSseParser} from './sse_parser.js';

const SEED = 20_261_204;
const LINE = fc
  .string({maxLength: 20})
  .map(text => text.replace(/[\r\n]/g, ''));
const EVENT = fc.record({id: fc.nat(), data: fc.array(LINE, {minLength: 1})});

test('events are parsed alike however the text is split', () => {
  fc.assert(
    fc.property(fc.array(EVENT), fc.array(fc.nat(12)), (events, lengths) => {
      const text = events
        .map(({id, data}) => {
          const lines = data.map(line => `data: ${line}\n`).join('');
          return `id: ${id}\n${lines}\n`;
        })
        .join('');
      const parser = createSseParser();
      const parsed = split(text, lengths).flatMap(part => parser.feed(part));
      assert.deepEqual(
        parsed.map(({id, data}) => ({id, data})),
        events.map(({id, data}) => ({id: String(id), data: data.join('\n')})),
      );
    }),
    {seed: SEED},
  );
});

test('arbitrary text does not make the parser throw', () => {
  fc.assert(
    fc.property(fc.array(fc.string()), parts => {
      const parser = createSseParser();
      for (const part of parts) parser.feed(part);
    }),
    {seed: SEED},
  );
});

function split(text: string, lengths: number[]): string[] {
  const parts: string[] = [];
  let rest = text;
  for (const length of lengths) {
    parts.push(rest.slice(0, length));
    rest = rest.slice(length);
  }
  return [...parts, rest];
}
