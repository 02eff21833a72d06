import assert from 'node:assert/strict';
import {test} from 'node:test';
import {gatewayConfigOf} from './gateway_config_of.js';

const MS_PER_SECOND = 1_000;
/** The part of the grace in which work may be broken off. */
const LAST_PART = 1 / 6;

function configOf(grace: number, notice = 3_000) {
  return gatewayConfigOf(
    {
      vm: {failure_domain: 'domain-1'},
      caller: {listen: '10.0.0.1:1', probe: '10.0.0.1:2'},
      ops: {listen: '10.0.0.1:3'},
      peers: {listen: '10.0.0.1:4', secret: 'secret', seeds: []},
      store: {address: '10.0.0.2:5'},
      shutdown: {grace, notice},
      retries: {ratio: 0.2, extra: 10, window: 10},
    } as unknown as Parameters<typeof gatewayConfigOf>[0],
    '10.0.0.1:4',
    1,
  );
}

// With a grace of less than the notice, requests were taken until the process
// was killed, and cut without an answer.
for (const grace of [0.5, 1, 2, 3, 4, 8, 30]) {
  test(`LOST: with a grace of ${grace} s, requests are taken in less than half of it and aborted before its end`, () => {
    const {drainNoticeMs, drainLimitMs} = configOf(grace);
    const graceMs = grace * MS_PER_SECOND;
    assert.ok(drainNoticeMs <= graceMs / 2, `${drainNoticeMs}`);
    assert.ok(drainLimitMs < graceMs);
    assert.ok(drainNoticeMs <= drainLimitMs);
  });
}

test('with the usual grace, work is aborted in its last part only', () => {
  const {drainNoticeMs, drainLimitMs} = configOf(8);
  assert.equal(drainNoticeMs, 3_000);
  assert.ok(drainLimitMs >= 8 * MS_PER_SECOND * (1 - LAST_PART));
});

test('a shorter notice is kept as it is set', () => {
  assert.equal(configOf(8, 500).drainNoticeMs, 500);
});
