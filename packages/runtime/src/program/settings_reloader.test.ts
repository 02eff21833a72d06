import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Logger} from '../logging/logger.js';
import {integer} from '../settings/setting_kinds.js';
import {createSettingsReloader} from './settings_reloader.js';
import type {Program} from './program.js';

const DEFINITION = {limits: {size: integer(1, 9, {help: 'Size.'})}};

const PROGRAM: Program<typeof DEFINITION> = {
  name: 'sample',
  help: '',
  settings: DEFINITION,
  start: () => Promise.resolve({}),
};

interface Fixture {
  write(content: string): void;
  sizes: number[];
  taken: unknown[];
}

function fixture(t: TestContext): Fixture {
  const dir = mkdtempSync(join(tmpdir(), 'wl-reload-'));
  const file = join(dir, 'sample.ini');
  const write = (content: string): void => writeFileSync(file, content);
  write('[limits]\nsize = 1\n');
  const taken: unknown[] = [];
  const logger: Logger = {
    write: (_event, fields) => taken.push(fields?.['taken']),
  };
  const sizes: number[] = [];
  const reloader = createSettingsReloader(PROGRAM, file, logger);
  reloader.onReload(cfg => sizes.push(cfg.limits.size));
  t.after(() => {
    void reloader.dispose();
    rmSync(dir, {recursive: true});
  });
  return {write, sizes, taken};
}

async function sendSighup(): Promise<void> {
  process.kill(process.pid, 'SIGHUP');
  await sleep(50);
}

test('SIGHUP reloads the settings and does not end the process', async t => {
  const {write, sizes} = fixture(t);
  write('[limits]\nsize = 7\n');
  await sendSighup();
  assert.deepEqual(sizes, [7]);
});

test('faulty settings are reported and the old ones remain in effect', async t => {
  const {write, sizes, taken} = fixture(t);
  write('[limits]\nsize = 70\n');
  await sendSighup();
  assert.deepEqual(sizes, []);
  assert.deepEqual(taken, [false]);
});
