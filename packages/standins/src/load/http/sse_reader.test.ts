import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSseReader} from './sse_reader.js';

test('events are parsed whichever way the bytes are split', () => {
  const text =
    ': comment\n\nid: 0\ndata: {"a":1}\n\nevent: wl-outcome\r\ndata: ü\r\n\r\n';
  const bytes = new TextEncoder().encode(text);
  const expected = [
    {event: '', data: '{"a":1}'},
    {event: 'wl-outcome', data: 'ü'},
  ];
  for (let split = 0; split <= bytes.length; split++) {
    const reader = createSseReader();
    const events = [
      ...reader.add(bytes.slice(0, split)),
      ...reader.add(bytes.slice(split)),
    ];
    assert.deepEqual(events, expected);
  }
});
