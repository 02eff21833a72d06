import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createInterface} from 'node:readline';
import {test} from 'node:test';

const RUNTIME = new URL(
  '../../packages/runtime/dist/program/run_program.js',
  import.meta.url,
);

/** A program that fails in a callback, a promise and an event handler. */
const PROGRAM = `
  import {EventEmitter} from 'node:events';
  import {runProgram} from '${RUNTIME.href}';
  await runProgram({
    name: 'wl-failing',
    help: 'Fails unexpectedly.',
    settings: {},
    start: async () => {
      setTimeout(() => { throw new Error('in a timer'); }, 10);
      setTimeout(() => void Promise.reject(new Error('in a promise')), 20);
      setTimeout(() => new EventEmitter().emit('error', new Error('event')), 30);
      setTimeout(() => process.stdout.write('still running\\n'), 200);
      return {};
    },
  });
`;

test('unexpected errors are logged and end no program', async t => {
  const dir = mkdtempSync(join(tmpdir(), 'wl-failing-'));
  t.after(() => rmSync(dir, {recursive: true, force: true}));
  const file = join(dir, 'program.mjs');
  const settings = join(dir, 'empty.ini');
  writeFileSync(file, PROGRAM);
  writeFileSync(settings, '');
  const child = spawn(process.execPath, [file, '--config', settings], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const exited = once(child, 'exit');
  const lines = [];
  for await (const line of createInterface({input: child.stdout})) {
    lines.push(line);
  }
  const [code] = await exited;
  assert.equal(code, 0);
  assert.ok(lines.includes('still running'));
  const errors = lines.filter(line => line.includes('WL9004'));
  for (const cause of ['in a timer', 'in a promise', 'event']) {
    assert.ok(
      errors.some(line => line.includes(cause)),
      cause,
    );
  }
});
