import assert from 'node:assert/strict';
import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {after, before, beforeEach, test} from 'node:test';
import {
  startAdminApi,
  testKey,
  type AdminApi,
} from '@wisterialadder/admin/mocks/admin_api.js';
import {folderWith, tableFiles} from './mocks/table_folder.js';
import {wlctl} from './mocks/wlctl_run.js';

let api: AdminApi;
let env: Record<string, string>;

before(async () => {
  api = await startAdminApi();
});

after(() => api.dispose());

beforeEach(() => {
  env = {WL_ADMIN_URL: api.url, WL_ADMIN_KEY: testKey('editor')};
});

async function importTable(): Promise<void> {
  const {status, stderr} = await wlctl(
    env,
    'table',
    'import',
    folderWith(tableFiles()),
  );
  assert.equal(status, 0, stderr);
}

test('an imported and exported table keeps every column', async () => {
  await importTable();
  const folder = folderWith({});
  assert.equal((await wlctl(env, 'table', 'export', folder)).status, 0);
  const exported = readFileSync(join(folder, 'class.csv'), 'utf8');
  assert.match(exported, /^name,rowVersion,service,/);
  assert.equal((await wlctl(env, 'table', 'diff', folder)).status, 0);
  const again = await wlctl(env, 'table', 'import', folder);
  assert.match(again.stdout, /nothing to change/);
});

test('importing an outdated export is a conflict and loses no change', async () => {
  await importTable();
  const folder = folderWith({});
  await wlctl(env, 'table', 'export', folder);
  const set = ['table', 'set', 'class', 'lookup', 'weight=7'];
  assert.equal((await wlctl(env, ...set)).status, 0);
  const file = join(folder, 'class.csv');
  const edited = readFileSync(file, 'utf8').replace('2.5', '9');
  writeFileSync(file, edited);
  const {status, stderr} = await wlctl(env, 'table', 'import', file);
  assert.equal(status, 4);
  assert.match(stderr, /class\/lookup was changed first, editor-1/);
});

test('validation errors name file, line and column, and nothing is sent', async () => {
  await importTable();
  const files = tableFiles();
  const invalid = folderWith({
    'class.csv': `${files['class.csv']}batch,coder,-1,1,5000,yes,first_token\n`,
  });
  const {status, stderr} = await wlctl(env, 'table', 'import', invalid);
  assert.equal(status, 3);
  assert.match(stderr, /class\.csv:3: class\/batch column weight: -1/);
  assert.match(stderr, /class\.csv:3: class\/batch column idempotent: "yes"/);
});

test('an edit id that looks like a number is kept as given', async () => {
  await importTable();
  const set = ['table', 'set', 'class', 'lookup', 'weight=8', '--id', '007'];
  assert.match((await wlctl(env, ...set)).stdout, /edit 007: accepted/);
  const edit = await wlctl(env, 'table', 'edit', '007', '--json');
  assert.match(edit.stdout, /"state": "accepted"/);
});

test('each kind of failure has its own exit status', async () => {
  await importTable();
  const reader = {...env, WL_ADMIN_KEY: testKey('reader')};
  const unreachable = {...env, WL_ADMIN_URL: 'http://127.0.0.1:1'};
  const stop = ['endpoints', 'stop', 'engine-1'];
  const cases: [Record<string, string>, string[], number][] = [
    [env, ['status', '--json'], 0],
    [env, ['table', 'diff', folderWith({'customer.csv': 'name\n'})], 1],
    [{}, ['status'], 2],
    [env, ['table', 'shw'], 2],
    [env, ['table', 'remove', 'endpoint', 'engine-1'], 3],
    [reader, stop, 7],
    [env, ['table', 'show', 'class', 'none'], 8],
    [unreachable, stop, 9],
    [env, stop, 0],
  ];
  for (const [variables, words, expected] of cases) {
    const {status, stderr} = await wlctl(variables, ...words);
    assert.equal(status, expected, `${words.join(' ')}: ${stderr}`);
  }
});

test('a customer search shows lines that carry only the request id', async () => {
  const line = (time: number, fields: Record<string, unknown>) =>
    JSON.stringify({time, message: 'm', context: {event: 'WL1001', ...fields}});
  const folder = folderWith({
    'a.log': [
      line(2, {reqId: 'r1', customer: 'ana'}),
      line(1, {reqId: 'r1', endpoint: 'engine-1'}),
      line(1, {reqId: 'r2', customer: 'bob'}),
      'not a log line',
    ].join('\n'),
  });
  const words = ['requests', 'find', '--customer', 'ana', '--json'];
  const {stdout} = await wlctl({}, ...words, join(folder, 'a.log'));
  const {lines} = JSON.parse(stdout) as {lines: {context: {reqId: string}}[]};
  assert.deepEqual(
    lines.map(l => l.context.reqId),
    ['r1', 'r1'],
  );
});
