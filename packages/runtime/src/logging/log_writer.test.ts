import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLogWriter, type LogWriter} from './log_writer.js';

interface Fixture {
  writer: LogWriter;
  written: string[];
  /** Ends the write that is on, as a reader does that takes its bytes. */
  read(): void;
  advance(ms: number): void;
}

function fixture(): Fixture {
  const written: string[] = [];
  const timers: {atMs: number; run: () => void}[] = [];
  let nowMs = 0;
  let open: (() => void) | undefined;
  const writer = createLogWriter({
    write: (text, done) => {
      written.push(text);
      open = done;
    },
    writeNow: text => written.push(text),
    nowMs: () => nowMs,
    schedule: (run, delayMs) => timers.push({atMs: nowMs + delayMs, run}),
  });
  return {
    writer,
    written,
    read: () => {
      const done = open;
      open = undefined;
      done?.();
    },
    advance: ms => {
      nowMs += ms;
      const due = timers.filter(({atMs}) => atMs <= nowMs);
      for (const timer of due) {
        timers.splice(timers.indexOf(timer), 1);
        timer.run();
      }
    },
  };
}

test('lines of one moment go out together and in order', () => {
  const {writer, written, advance} = fixture();
  writer.push('a');
  writer.push('b');
  advance(100);
  assert.deepEqual(written, ['a\nb\n']);
});

test('a reader that has stopped costs lines, never time or memory', () => {
  const {writer, written, read, advance} = fixture();
  const line = 'x'.repeat(1_000);
  writer.push(line);
  advance(100);
  let taken = 0;
  for (let i = 0; i < 5_000; i++) {
    if (writer.push(line)) taken += 1;
    advance(10);
  }
  assert.ok(taken <= 1_100);
  assert.equal(writer.dropped(), 5_000 - taken);
  assert.equal(written.length, 1);
  read();
  advance(100);
  assert.equal(written.length, 2);
  assert.ok(writer.push('again'));
});

test('a flood of lines is cut to a bounded rate', () => {
  const {writer, read, advance} = fixture();
  let taken = 0;
  for (let ms = 0; ms < 10_000; ms++) {
    for (let i = 0; i < 5; i++) taken += writer.push('line') ? 1 : 0;
    advance(1);
    read();
  }
  assert.ok(taken <= 2_000 + 10 * 200 + 1);
});

test('what is queued is written when the process ends', () => {
  const {writer, written} = fixture();
  writer.push('last');
  writer.flushNow();
  assert.deepEqual(written, ['last\n']);
});
