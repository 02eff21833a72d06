import {setTimeout as sleep} from 'node:timers/promises';
import type {LogRead} from '@wisterialadder/core/router/events/log_read.js';
import type {LogReadFailed} from '@wisterialadder/core/router/events/log_read_failed.js';
import type {LogStream} from '@wisterialadder/core/types/log_stream.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {LogClient} from './log_client.js';

const POLL_WAIT_MS = 5_000;
const RETRY_MS = 250;

/** Tails one stream until disposed and pushes each read as an event. */
export function startLogTail(
  client: LogClient,
  stream: LogStream,
  from: number,
  push: (event: LogRead | LogReadFailed) => boolean,
): Disposable {
  const abort = new AbortController();
  let next = from;
  // The first read does not wait, so that the end offset is known at once.
  let waitMs = 0;

  async function run(): Promise<void> {
    while (!abort.signal.aborted) {
      const read = await client.read(stream, next, waitMs, abort.signal);
      if (abort.signal.aborted) return;
      if (!read.ok) {
        push({kind: 'log_read_failed', stream});
        await sleep(RETRY_MS, undefined, {signal: abort.signal});
        continue;
      }
      const accepted = push({
        kind: 'log_read',
        stream,
        from: next,
        ...read.val,
      });
      if (!accepted) {
        await sleep(RETRY_MS, undefined, {signal: abort.signal});
        continue;
      }
      const last = read.val.records.at(-1);
      if (last) next = last.offset + 1;
      waitMs = last && next < read.val.end ? 0 : POLL_WAIT_MS;
    }
  }

  run().catch(() => undefined);
  return {dispose: () => abort.abort()};
}
