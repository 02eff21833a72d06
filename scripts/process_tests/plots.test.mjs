import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'node:test';

test('a recorded run is drawn, also one whose requests all failed', t => {
  const dir = mkdtempSync(join(tmpdir(), 'wl-plots-'));
  t.after(() => rmSync(dir, {recursive: true, force: true}));
  const failed = {outcome: 'failed', firstPieceMs: 0, longestPauseMs: 0};
  const served = {outcome: 'late', firstPieceMs: 410, longestPauseMs: 60};
  for (const request of [failed, served]) {
    const requests = [{kind: 'lookup', sentMs: 900, ...request}];
    const samples = [{gateway: 1, atMs: 250, inFlight: 2, aside: 0}];
    const [record, svg] = ['run.json', 'run.svg'].map(file => join(dir, file));
    writeFileSync(record, JSON.stringify({requests, samples}));
    execFileSync('node', ['scripts/plot_run.mjs', record, svg]);
    const text = readFileSync(svg, 'utf8');
    assert.ok(text.includes('requests in flight'));
    assert.ok(!text.includes('NaN'));
    const hasPieces = request.firstPieceMs > 0;
    assert.equal(text.includes('time to the first piece'), hasPieces);
  }
});
