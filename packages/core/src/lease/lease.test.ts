import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createTestRandom} from '../mocks/step_harness.js';
import {
  createLeaseClient,
  DURATION_MS,
  type LeaseClient,
} from './mocks/lease_client.js';
import {createTestLog} from './mocks/test_log.js';

const MARGIN_MS = DURATION_MS / 10;

function acquire(client: LeaseClient): void {
  client.read();
  client.advanceUntilSent();
  client.deliver();
  client.read();
}

function heldToken(client: LeaseClient): number | undefined {
  return client.hold()?.token;
}

const CASES: Record<string, () => void> = {
  'of two contenders the first in the log holds the lease': () => {
    const log = createTestLog();
    const [a, b] = ['a', 'bb'].map(name => createLeaseClient(log, name));
    assert.ok(a && b);
    for (const client of [a, b]) {
      client.read();
      client.advanceUntilSent();
    }
    b.deliver();
    a.deliver();
    a.read();
    b.read();
    assert.equal(heldToken(b), 0);
    assert.equal(heldToken(a), undefined);
  },
  'after a lost answer the first record counts, with its send time': () => {
    const log = createTestLog();
    const a = createLeaseClient(log, 'a');
    a.read();
    a.advanceUntilSent();
    const sentMs = a.nowMs();
    a.deliver('unknown');
    a.advanceUntilSent();
    a.deliver();
    a.read();
    assert.equal(heldToken(a), 0);
    assert.equal(a.hold()?.validUntilMs, sentMs + DURATION_MS);
  },
  'a holder that resumes after its lease expired holds nothing': () => {
    const log = createTestLog();
    const [a, b] = ['a', 'bb'].map(name => createLeaseClient(log, name));
    assert.ok(a && b);
    acquire(a);
    a.advanceUntilSent();
    a.deliver('unknown');
    b.read();
    a.pause(3 * DURATION_MS);
    assert.equal(heldToken(a), undefined);
    assert.ok(b.advanceUntilSent() > DURATION_MS + MARGIN_MS);
    b.deliver();
    b.read();
    a.read();
    assert.equal(heldToken(a), undefined);
    assert.equal(heldToken(b), 2);
  },
  'a renewal read back after expiry does not revive the lease': () => {
    const log = createTestLog();
    const a = createLeaseClient(log, 'a');
    acquire(a);
    a.advance(DURATION_MS / 2);
    a.deliver('unknown');
    a.advance(DURATION_MS / 2);
    a.read();
    assert.equal(heldToken(a), undefined);
  },
  'in a log outage the lease ends when it expires, not before': () => {
    const log = createTestLog();
    const a = createLeaseClient(log, 'a');
    acquire(a);
    const untilMs = a.hold()?.validUntilMs ?? 0;
    while (a.nowMs() + 10 < untilMs) {
      a.advance(10);
      a.deliver('not_appended');
      assert.equal(heldToken(a), 0);
    }
    a.advance(20);
    assert.equal(heldToken(a), undefined);
  },
  'after a release contenders do not wait for the lease duration': () => {
    const log = createTestLog();
    const [a, b] = ['a', 'bb'].map(name => createLeaseClient(log, name));
    assert.ok(a && b);
    acquire(a);
    b.read();
    a.release();
    assert.equal(heldToken(a), undefined);
    a.deliver();
    b.read();
    assert.ok(b.advanceUntilSent() < DURATION_MS / 2);
    b.deliver();
    b.read();
    assert.equal(heldToken(b), 2);
  },
  'no decision depends on the wall clock': () => {
    const walls = [() => 1, createTestRandom(3)];
    const untilMs = walls.map(wall => {
      const client = createLeaseClient(createTestLog(), 'a', wall);
      acquire(client);
      client.advanceUntilSent();
      client.deliver();
      client.read();
      return client.hold()?.validUntilMs;
    });
    assert.ok(untilMs[0]);
    assert.equal(untilMs[0], untilMs[1]);
  },
  'a restarted process does not take over its own old lease': () => {
    const log = createTestLog();
    acquire(createLeaseClient(log, 'vm-1#1'));
    const restarted = createLeaseClient(log, 'vm-1#2');
    restarted.read();
    assert.ok(restarted.advanceUntilSent() > DURATION_MS + MARGIN_MS);
    restarted.deliver();
    restarted.read();
    assert.equal(heldToken(restarted), 1);
  },
  'a reader of a trimmed stream waits, then agrees with complete readers':
    () => {
      const log = createTestLog(1);
      const full = createLeaseClient(log, 'full');
      acquire(full);
      const invalidRecord = {type: 'acquire', id: 'x', holder: 'x', base: -1};
      log.append(
        'lease',
        JSON.stringify({...invalidRecord, durationMs: DURATION_MS}),
      );
      const late = createLeaseClient(log, 'late');
      late.read();
      assert.ok(late.advanceUntilSent() > DURATION_MS + MARGIN_MS);
      full.read();
      full.pause(2 * DURATION_MS);
      late.deliver();
      late.read();
      full.read();
      assert.equal(heldToken(late), 2);
      assert.ok(full.advanceUntilSent() > DURATION_MS + MARGIN_MS);
    },
};

for (const [name, run] of Object.entries(CASES)) test(name, run);
