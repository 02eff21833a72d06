import {write, writeSync} from 'node:fs';

/** Lines of one flush go out in one call. */
const FLUSH_INTERVAL_MS = 40;
/** Lines a second that are written in the long run. */
const LINES_PER_SECOND = 200;
/** Lines that may come at once. */
const BURST_LINES = 2_000;
/** Lines that wait for a reader; beyond that, new ones are dropped. */
const MAX_QUEUED_BYTES = 1_048_576;

/** Writes log lines without ever waiting for who reads them. */
export interface LogWriter {
  /** Queues a line; false if it was dropped. */
  push(line: string): boolean;
  /** Lines dropped so far. */
  dropped(): number;
  /** Writes what is queued before the process ends. */
  flushNow(): void;
}

/** What the writer works with; tests replace parts of it. */
export interface LogWriterParts {
  write(text: string, done: () => void): void;
  writeNow(text: string): void;
  nowMs(): number;
  schedule(run: () => void, delayMs: number): void;
}

/** Parts of a writer to an open file, such as standard output. */
export function writeTo(file: number): LogWriterParts {
  return {
    // Errors of a closed output have nowhere to go.
    write: (text, done) => write(file, text, () => done()),
    writeNow: text => {
      try {
        writeSync(file, text);
      } catch {
        // As above.
      }
    },
    nowMs: () => performance.now(),
    schedule: (run, delayMs) => {
      setTimeout(run, delayMs).unref();
    },
  };
}

/**
 * Creates a writer. A line is dropped if more than `LINES_PER_SECOND` come in
 * the long run, or if the reader of the output has stopped.
 */
export function createLogWriter(parts: LogWriterParts): LogWriter {
  let queue: string[] = [];
  let queuedBytes = 0;
  let dropped = 0;
  let credit = BURST_LINES;
  let creditMs = parts.nowMs();
  let busy = false;

  function push(line: string): boolean {
    const nowMs = parts.nowMs();
    const earned = ((nowMs - creditMs) / 1_000) * LINES_PER_SECOND;
    credit = Math.min(BURST_LINES, credit + earned);
    creditMs = nowMs;
    const fits = queuedBytes + line.length <= MAX_QUEUED_BYTES;
    if (credit < 1 || !fits) {
      dropped += 1;
      return false;
    }
    credit -= 1;
    queue.push(line);
    queuedBytes += line.length;
    if (!busy) {
      busy = true;
      parts.schedule(flush, FLUSH_INTERVAL_MS);
    }
    return true;
  }

  function flush(): void {
    const text = take();
    if (text === '') {
      busy = false;
      return;
    }
    parts.write(text, () => {
      if (queue.length > 0) parts.schedule(flush, FLUSH_INTERVAL_MS);
      else busy = false;
    });
  }

  function take(): string {
    const text = queue.map(line => `${line}\n`).join('');
    queue = [];
    queuedBytes = 0;
    return text;
  }

  return {
    push,
    dropped: () => dropped,
    flushNow: () => {
      const text = take();
      if (text !== '') parts.writeNow(text);
    },
  };
}
