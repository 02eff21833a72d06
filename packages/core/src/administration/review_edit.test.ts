import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  KEY_HASH,
  modelRow,
  proposal,
  validRows,
  versioned,
} from '../mocks/admin_edits.js';
import {classRow, customerRow, endpointRow} from '../mocks/rows.js';
import {reviewEdit} from './review_edit.js';
import type {RowProposal} from './row_proposal.js';

const other = endpointRow({name: 'engine-2', url: 'http://127.0.0.1:9002'});
const ana = customerRow({name: 'ana', keyHashes: []});

function remove(type: string, name: string, base?: number): RowProposal {
  return {type, name, base, values: null, source: 'json'};
}

function cells(over: Record<string, string>): RowProposal {
  const {type, name, ...values} = classRow();
  return {
    type,
    name,
    base: undefined,
    values: {...values, ...over},
    source: 'text',
  };
}

// Each case: description, edit, and "row column code" of each fault.
const CASES: [string, RowProposal[], string[]][] = [
  ['unknown type', [remove('clas', 'a')], ['1 name unknown_name']],
  [
    'unknown type of a new row',
    [{...proposal(classRow()), type: 'clas'}],
    ['1 type unknown_type'],
  ],
  [
    'unknown and missing column',
    [proposal(classRow(), {values: {...classRow(), weight: undefined}})],
    ['1 type unknown_column', '1 weight missing'],
  ],
  [
    'negative weight',
    [proposal(ana), proposal(classRow({weight: -1}))],
    ['2 weight not_allowed'],
  ],
  [
    'priority 10',
    [proposal(classRow({priority: 10}))],
    ['1 priority not_allowed'],
  ],
  ['empty cell', [cells({timeoutMs: ''})], ['1 timeoutMs not_allowed']],
  ['number as text', [cells({weight: '2 %'})], ['1 weight not_allowed']],
  [
    'name with a slash',
    [proposal(classRow({name: 'a/b'}))],
    ['1 name not_allowed'],
  ],
  [
    'key instead of its hash',
    [proposal({...ana, keyHashes: ['secret']})],
    ['1 keyHashes not_allowed'],
  ],
  ['row listed twice', [proposal(ana), proposal(ana)], ['2 name duplicate']],
  [
    'key hash of another customer',
    [proposal({...ana, keyHashes: [KEY_HASH]})],
    ['1 keyHashes duplicate'],
  ],
  [
    'address of another endpoint',
    [proposal({...other, url: endpointRow().url})],
    ['1 url duplicate'],
  ],
  [
    'more replicas at least than at most',
    [proposal(modelRow({minReplicas: 5}))],
    ['1 minReplicas contradiction'],
  ],
  [
    'engine without memory',
    [proposal({...other, kvCapacityTokens: 0})],
    ['1 kvCapacityTokens contradiction'],
  ],
  [
    'plain service that serves a model',
    [proposal({...other, kind: 'service', kvCapacityTokens: 0})],
    ['1 service contradiction'],
  ],
  [
    'class of an unknown service',
    [proposal(classRow({service: 'coderr'}))],
    ['1 service unknown_name'],
  ],
  [
    'customer of an unknown class',
    [proposal({...ana, classes: ['lookup', 'bulk']})],
    ['1 classes unknown_name'],
  ],
  [
    'class in use removed',
    [remove('class', 'lookup')],
    ['1 classes unknown_name'],
  ],
  [
    'model in use removed',
    [remove('model', 'coder')],
    ['1 service unknown_name'],
  ],
  [
    'last endpoint removed',
    [remove('endpoint', 'engine-1')],
    ['1 service orphan'],
  ],
  [
    'last endpoint and its model removed',
    [remove('endpoint', 'engine-1'), remove('model', 'coder')],
    ['2 service unknown_name', '1 service orphan'],
  ],
  ['unknown row removed', [remove('class', 'x')], ['1 name unknown_name']],
  ['row removed by someone else', [remove('class', 'x', 4)], []],
  [
    'last endpoint replaced',
    [remove('endpoint', 'engine-1'), proposal(other)],
    [],
  ],
  ['cells of a spreadsheet', [cells({idempotent: 'TRUE', weight: ' 2 '})], []],
];

for (const [name, edit, expected] of CASES) {
  const kind = expected.length > 0 ? 'is refused' : 'is allowed';
  test(`edit with ${name} ${kind}, guarding traffic and typing errors`, () => {
    const result = reviewEdit(versioned(validRows()), edit);
    const found = result.ok
      ? []
      : result.val.map(({row, column, code}) => `${row} ${column} ${code}`);
    assert.deepEqual(found, expected);
  });
}

test('an old fault of the table does not block changes of other rows', () => {
  const broken = [...validRows(), classRow({name: 'old', service: 'gone'})];
  const result = reviewEdit(versioned(broken), [proposal(ana)]);
  assert.ok(result.ok);
});
