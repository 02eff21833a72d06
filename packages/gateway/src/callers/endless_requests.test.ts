import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {test} from 'node:test';
import {splitAddress} from '@wisterialadder/runtime/http/http_server.js';
import {startCallerHarness} from '../mocks/callers.js';
import {endlessReply} from '../mocks/endless_reply.js';
import {peakGrowth} from '../mocks/memory_growth.js';

/** Far less than an entry VM has, far more than a request needs. */
const MAX_MEMORY_BYTES = 48 * 1_048_576;
const LINE = 'POST /a HTTP/1.1\r\n';
const HEAD = `${LINE}host: x\r\nreq-id: r1\r\n`;
const CHUNKED = 'transfer-encoding: chunked\r\n\r\n';
const X = 'x'.repeat(1_000);

// Also before the first configuration, when no limits are known.
for (const limited of [true, false]) {
  for (const [what, start, repeated] of [
    ['a request line', 'POST /', X],
    ['bytes that are no request', '', '\x00\xff'],
    ['a header', `${HEAD}long: `, X],
    ['headers', HEAD, 'a: b\r\n'],
    ['a body', `${HEAD}content-length: 99999999999\r\n\r\n`, X],
    ['a chunked body', HEAD + CHUNKED, `3e8\r\n${X}\r\n`],
    ['a chunked body of single bytes', HEAD + CHUNKED, '1\r\nx\r\n'],
    ["a chunk's extension", `${HEAD}${CHUNKED}1;a=`, X],
    ['a trailer', `${HEAD}${CHUNKED}0\r\na: `, X],
  ] as const) {
    const when = limited ? '' : ' before the first configuration';
    test(`${what} without end${when} takes bounded memory and is closed`, async t => {
      const {server, open} = await startCallerHarness();
      t.after(() => server.dispose());
      if (limited) {
        server.applyLimits({
          maxHeadBytes: 16_384,
          maxBodyBytes: 1_000_000,
          headTimeoutMs: 3_000,
          idleTimeoutMs: 15_000,
        });
      }
      const endless = endlessReply(start, repeated);
      const socket = connect(splitAddress(server.address));
      socket.on('error', () => undefined);
      socket.once('connect', () => endless.reply(socket));
      const growth = await peakGrowth(endless.closed);
      assert.ok(growth < MAX_MEMORY_BYTES, `${growth} bytes`);
      assert.equal(open.size, 0);
    });
  }
}
