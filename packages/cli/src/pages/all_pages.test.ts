import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {allPages} from './all_pages.js';

const ROOT = new URL('../../../../', import.meta.url);

for (const {file, content} of allPages()) {
  test(`${file} is up to date with the definitions in the code`, () => {
    const page = readFileSync(new URL(file, ROOT), 'utf8');
    assert.equal(page, content, 'run "node scripts/gen_docs.mjs"');
  });
}
