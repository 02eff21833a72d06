// Guards against heads that count for less than they take of the heap.
import assert from 'node:assert/strict';
import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {test} from 'node:test';
import {headHeapBytes, releaseHead} from './head_bytes.js';

/** Bytes of heap a line, measured with heads of 15 KB under Node.js 20. */
const MEASURED = [
  {name: 'ab', value: '12', heapBytes: 125},
  {name: 'z00a', value: '1', heapBytes: 101},
  {name: 'a', value: '', heapBytes: 51},
  {name: 'x-header-name-100', value: 'some-value-of-100', heapBytes: 158},
];

function requestOf(lines: number, name: string, value: string) {
  const req = new IncomingMessage(new Socket());
  req.rawHeaders = Array.from({length: lines}, () => [name, value]).flat();
  return req;
}

for (const {name, value, heapBytes} of MEASURED) {
  test(`a head of lines "${name}: ${value}" counts with all it takes`, () => {
    const lines = 2_000;
    const counted = headHeapBytes(requestOf(lines, name, value));
    assert.ok(counted + 4_096 >= lines * heapBytes, `${counted} bytes`);
  });
}

test('a usual head is within what each connection is granted', () => {
  const head = requestOf(20, 'some-header', 'a value of usual length');
  assert.equal(headHeapBytes(head), 0);
});

test('a head that was released takes nothing', () => {
  const req = requestOf(2_000, 'ab', '12');
  releaseHead(req);
  assert.equal(headHeapBytes(req), 0);
});
