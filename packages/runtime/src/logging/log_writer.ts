import {write, writeSync} from 'node:fs';

/** Delay of a flush, which writes all queued lines in one call. */
const FLUSH_INTERVAL_MS = 40;
/** Sustained rate limit. */
const LINES_PER_SECOND = 200;
/** Lines accepted in a burst above the sustained rate. */
const BURST_LINES = 2_000;
/** Size of the queue for a slow reader; new lines beyond it are dropped. */
const MAX_QUEUED_BYTES = 1_048_576;

/** Writes log lines without blocking on a slow reader. */
export interface LogWriter {
  /** Queues a line; false if it was dropped. */
  push(line: string): boolean;
  /** Lines dropped so far. */
  dropped(): number;
  /** Writes the queued lines synchronously, before the process ends. */
  flushNow(): void;
}

/** Output, clock and timer of the writer; tests replace them. */
export interface LogWriterParts {
  write(text: string, done: () => void): void;
  writeNow(text: string): void;
  nowMs(): number;
  schedule(run: () => void, delayMs: number): void;
}

/** Parts of a writer to an open file, such as standard output. */
export function fileParts(file: number): LogWriterParts {
  return {
    // Errors are ignored: with the output closed they cannot be reported.
    write: (text, done) => write(file, text, () => done()),
    writeNow: text => {
      try {
        writeSync(file, text);
      } catch {
        // Ignored for the same reason.
      }
    },
    nowMs: () => performance.now(),
    schedule: (run, delayMs) => {
      setTimeout(run, delayMs).unref();
    },
  };
}

/**
 * Creates a writer. A line is dropped if it exceeds the rate limit, or if the
 * queue is full because the reader of the output has stopped.
 */
export function createLogWriter(parts: LogWriterParts): LogWriter {
  let queue: string[] = [];
  let queuedBytes = 0;
  let dropped = 0;
  let availableLines = BURST_LINES;
  let refilledMs = parts.nowMs();
  let flushing = false;

  function push(line: string): boolean {
    const nowMs = parts.nowMs();
    const refill = ((nowMs - refilledMs) / 1_000) * LINES_PER_SECOND;
    availableLines = Math.min(BURST_LINES, availableLines + refill);
    refilledMs = nowMs;
    const fits = queuedBytes + line.length <= MAX_QUEUED_BYTES;
    if (availableLines < 1 || !fits) {
      dropped += 1;
      return false;
    }
    availableLines -= 1;
    queue.push(line);
    queuedBytes += line.length;
    if (!flushing) {
      flushing = true;
      parts.schedule(flush, FLUSH_INTERVAL_MS);
    }
    return true;
  }

  function flush(): void {
    const text = drainQueue();
    if (text === '') {
      flushing = false;
      return;
    }
    parts.write(text, () => {
      if (queue.length > 0) parts.schedule(flush, FLUSH_INTERVAL_MS);
      else flushing = false;
    });
  }

  function drainQueue(): string {
    const text = queue.map(line => `${line}\n`).join('');
    queue = [];
    queuedBytes = 0;
    return text;
  }

  return {
    push,
    dropped: () => dropped,
    flushNow: () => {
      const text = drainQueue();
      if (text !== '') parts.writeNow(text);
    },
  };
}
