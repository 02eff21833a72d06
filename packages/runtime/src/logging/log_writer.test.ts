import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLogWriter, type LogWriter} from './log_writer.js';

interface Fixture {
  writer: LogWriter;
  written: string[];
  /** Completes the pending write, as when a reader takes its bytes. */
  completeWrite(): void;
  advance(ms: number): void;
}

function fixture(): Fixture {
  const written: string[] = [];
  const timers: {atMs: number; run: () => void}[] = [];
  let nowMs = 0;
  let pendingDone: (() => void) | undefined;
  const writer = createLogWriter({
    write: (text, done) => {
      written.push(text);
      pendingDone = done;
    },
    writeNow: text => written.push(text),
    nowMs: () => nowMs,
    schedule: (run, delayMs) => timers.push({atMs: nowMs + delayMs, run}),
  });
  return {
    writer,
    written,
    completeWrite: () => {
      const done = pendingDone;
      pendingDone = undefined;
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

test('lines pushed at one time are written in order and in one call', () => {
  const {writer, written, advance} = fixture();
  writer.push('a');
  writer.push('b');
  advance(100);
  assert.deepEqual(written, ['a\nb\n']);
});

test('a stopped reader causes dropped lines, not blocking or a growing queue', () => {
  const {writer, written, completeWrite, advance} = fixture();
  const line = 'x'.repeat(1_000);
  writer.push(line);
  advance(100);
  let accepted = 0;
  for (let i = 0; i < 5_000; i++) {
    if (writer.push(line)) accepted += 1;
    advance(10);
  }
  assert.ok(accepted <= 1_100);
  assert.equal(writer.dropped(), 5_000 - accepted);
  assert.equal(written.length, 1);
  completeWrite();
  advance(100);
  assert.equal(written.length, 2);
  assert.ok(writer.push('again'));
});

test('lines beyond the rate limit are dropped', () => {
  const {writer, completeWrite, advance} = fixture();
  let accepted = 0;
  for (let ms = 0; ms < 10_000; ms++) {
    for (let i = 0; i < 5; i++) accepted += writer.push('line') ? 1 : 0;
    advance(1);
    completeWrite();
  }
  assert.ok(accepted <= 2_000 + 10 * 200 + 1);
});

test('queued lines are written when the process ends', () => {
  const {writer, written} = fixture();
  writer.push('last');
  writer.flushNow();
  assert.deepEqual(written, ['last\n']);
});
