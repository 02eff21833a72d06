import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {formatCsv} from './format_csv.js';
import {parseCsv} from './parse_csv.js';

const FIELD = fc.string({
  unit: fc.constantFrom('a', '"', ',', '\r', '\n', ' ', 'ü', ';'),
  maxLength: 6,
});

test('parsing formatted CSV returns the same records', () => {
  const records = fc.array(fc.array(FIELD, {minLength: 1, maxLength: 4}));
  fc.assert(
    fc.property(records, expected => {
      const read = parseCsv(formatCsv(expected));
      assert.ok(read.ok);
      assert.deepEqual(
        read.val.map(record => record.fields),
        expected,
      );
    }),
    {seed: 7, numRuns: 500},
  );
});

test('byte order mark, CRLF and empty lines of spreadsheets are accepted', () => {
  const read = parseCsv('\uFEFFname,note\r\na,"x, ""y""\r\nz"\r\n\r\nb,\r\n');
  assert.ok(read.ok);
  assert.deepEqual(read.val, [
    {line: 1, fields: ['name', 'note']},
    {line: 2, fields: ['a', 'x, "y"\r\nz']},
    {line: 5, fields: ['b', '']},
  ]);
});

test('a misplaced quote is an error with its line', () => {
  const read = parseCsv('name\na\n"b"c\n');
  assert.ok(!read.ok);
  assert.equal(read.val.line, 3);
});
