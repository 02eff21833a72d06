// Guards against heads within the limits that take far more memory than bytes:
// many short header lines ended the process with its heap used up.
import {before, test} from 'node:test';
import {
  stopBehindShortLines,
  stopInShortLines,
  stopInTrailers,
} from '../fleet/crowd.mjs';
import {
  assertRefuses,
  buildBundle,
  crowdOf,
  HALF_HEAP,
  playCrowd,
} from './fixture.mjs';

const CLIENTS = 650;
const HEAD_BYTES = 16_000;
const LIMITS = {
  callers: 700,
  flags: HALF_HEAP,
};

before(buildBundle);

for (const [what, play] of [
  ['short header lines before a body that stops', stopBehindShortLines],
  ['short header lines without end', stopInShortLines],
  ['short trailer lines without end', stopInTrailers],
]) {
  test(`LOST: ${what} leave a gateway in its bounds and serving`, async t => {
    const parts = crowdOf(CLIENTS, socket => play(socket, HEAD_BYTES));
    await playCrowd(t, {parts, limits: LIMITS});
  });
}

// Before the first configuration heads of eight times the size are read.
test('LOST: short header lines before the first configuration leave a gateway in its bounds', async t => {
  const parts = crowdOf(CLIENTS, s => stopBehindShortLines(s, 8 * HEAD_BYTES));
  const limits = {...LIMITS, storeAddress: '127.0.0.1:9'};
  await playCrowd(t, {parts, limits, assertAnswers: assertRefuses});
});
