import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fuzzRuns} from '@wisterialadder/core/mocks/fuzz_runs.js';
import fc from 'fast-check';
import type {EntryChange} from '@wisterialadder/core/registry/entry_change.js';
import type {WorkNotice} from '@wisterialadder/core/fleet/messages/work_notice.js';
import {decodeDatagram, encodeDatagram} from './datagram_codec.js';
import type {DatagramMessage} from './datagram_message.js';

const COUNT = fc.nat(1_000_000);
const OFFSET = fc.nat(Number.MAX_SAFE_INTEGER);

const NOTICE: fc.Arbitrary<WorkNotice> = fc.record({
  work: COUNT,
  main: fc.string(),
  helpers: fc.array(fc.string(), {maxLength: 4}),
  shared: fc.boolean(),
  promptTokens: COUNT,
  outputTokens: COUNT,
  dueInMs: fc.integer({min: -100_000, max: 100_000}),
  gapMs: COUNT,
  ageMs: COUNT,
  writing: fc.boolean(),
});

const CHANGE: fc.Arbitrary<EntryChange> = fc
  .record({
    id: fc.string(),
    service: fc.string(),
    address: fc.string(),
    failureDomain: fc.string(),
    slots: COUNT,
    state: fc.constantFrom('ready' as const, 'leaving' as const),
    warmUpMs: COUNT,
    sequence: OFFSET,
    startedAtMs: OFFSET,
  })
  .chain(entry =>
    fc.constantFrom<EntryChange>(
      {id: entry.id, entry, unreadable: false},
      {id: entry.id, entry: undefined, unreadable: true},
      {id: entry.id, entry: undefined, unreadable: false},
    ),
  );

const MESSAGE: fc.Arbitrary<DatagramMessage> = fc.oneof(
  fc.record({
    kind: fc.constant('beat' as const),
    failureDomain: fc.string(),
    storeReachable: fc.boolean(),
    draining: fc.boolean(),
    wantsReply: fc.boolean(),
    withoutWork: fc.boolean(),
    passOn: fc.boolean(),
    work: fc.array(NOTICE, {maxLength: 5}),
  }),
  fc.record({
    kind: fc.constant('work_update' as const),
    started: fc.array(NOTICE, {maxLength: 3}),
    writing: fc.array(COUNT, {maxLength: 3}),
    ended: fc.array(COUNT, {maxLength: 3}),
    passOn: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant('fleet_digest' as const),
    passOn: fc.boolean(),
    changes: fc.array(
      fc.record({
        member: fc.string(),
        incarnation: OFFSET,
        started: fc.array(NOTICE, {maxLength: 3}),
        writing: fc.array(COUNT, {maxLength: 3}),
        ended: fc.array(COUNT, {maxLength: 3}),
      }),
      {maxLength: 3},
    ),
    beats: fc.array(
      fc.record({
        member: fc.string(),
        incarnation: OFFSET,
        failureDomain: fc.string(),
        storeReachable: fc.boolean(),
        draining: fc.boolean(),
        withoutWork: fc.boolean(),
        work: fc.array(NOTICE, {maxLength: 3}),
      }),
      {maxLength: 3},
    ),
  }),
  fc.record({
    kind: fc.constant('endpoint_doubt' as const),
    endpoint: fc.string(),
    pauseMs: COUNT,
  }),
  fc.record({
    kind: fc.constant('endpoint_leaving' as const),
    endpoint: fc.string(),
    startedAtMs: OFFSET,
  }),
  fc.record({
    kind: fc.constant('store_news' as const),
    configurationOffset: OFFSET,
    registryOffset: OFFSET,
    registryFromOffset: OFFSET,
    changes: fc.array(CHANGE, {maxLength: 4}),
    ageMs: COUNT,
  }),
);

/** Removes the `$` members that protobuf adds to its messages. */
function withoutMetadata(value: unknown): unknown {
  return JSON.parse(
    JSON.stringify(value, (key, field: unknown) =>
      key.startsWith('$') ? undefined : field,
    ),
  );
}

test('encoding and decoding preserve every message', () => {
  fc.assert(
    fc.property(MESSAGE, message => {
      const decoded = decodeDatagram(encodeDatagram(7, 1_234, message));
      assert.equal(decoded?.fleet, 7);
      assert.equal(decoded?.incarnation, 1_234);
      assert.deepEqual(
        withoutMetadata(decoded?.message),
        withoutMetadata(message),
      );
    }),
    fuzzRuns(300),
  );
});

test('malformed bytes never throw and empty ones decode to undefined', () => {
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 200}), bytes => {
      decodeDatagram(bytes);
    }),
    fuzzRuns(2_000),
  );
  assert.equal(decodeDatagram(new Uint8Array()), undefined);
});
