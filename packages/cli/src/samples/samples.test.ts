import assert from 'node:assert/strict';
import {readdirSync} from 'node:fs';
import {join} from 'node:path';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {wlctl} from '../mocks/wlctl_run.js';
import {planImport} from '../table_files/plan_import.js';
import {readTableFiles} from '../table_files/read_table_files.js';

const CONFIG = fileURLToPath(new URL('../../../../config', import.meta.url));

const SAMPLES = [
  ['cotecode', 'first_token'],
  ['ben-salah', 'short_slowdown'],
] as const;

for (const [name, objective] of SAMPLES) {
  test(`sample ${name} passes validation of its table and settings`, async () => {
    const folder = join(CONFIG, name);
    const files = readTableFiles([join(folder, 'table')]);
    assert.ok(files.ok);
    const plan = planImport([], files.val, false);
    assert.ok(plan.ok);
    const rows = plan.val.map(({row}) => row);
    const classes = rows.filter(row => row?.type === 'class');
    assert.ok(classes.every(row => row.objective === objective));
    const settings = readdirSync(folder)
      .filter(file => file.endsWith('.ini'))
      .map(file => join(folder, file));
    const check = await wlctl({}, 'settings', 'check', ...settings);
    assert.equal(check.status, 0, check.stderr);
  });
}
