import type {Append} from '@wisterialadder/core/router/actions/append.js';
import type {StopTail} from '@wisterialadder/core/router/actions/stop_tail.js';
import type {Tail} from '@wisterialadder/core/router/actions/tail.js';
import type {AppendSettled} from '@wisterialadder/core/router/events/append_settled.js';
import type {LogRead} from '@wisterialadder/core/router/events/log_read.js';
import type {LogReadFailed} from '@wisterialadder/core/router/events/log_read_failed.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {LogClient} from './log_client.js';
import {startLogTail} from './log_tail.js';

type LogEvent = AppendSettled | LogRead | LogReadFailed;

/** Tails and appends to streams of the platform's log. */
export interface LogAdapter extends Disposable {
  append(action: Append): void;
  tail(action: Tail): void;
  stopTail(action: StopTail): void;
}

/** Creates an adapter that tails no stream yet. */
export function createLogAdapter(
  client: LogClient,
  push: (event: LogEvent) => boolean,
): LogAdapter {
  const tails = new Map<string, Disposable>();

  async function append({appendId, stream, data}: Append): Promise<void> {
    const result = await client.append(stream, data);
    push({
      kind: 'append_settled',
      appendId,
      result: appendResult(result),
      offset: result.ok ? result.val : -1,
    });
  }

  function stopTail({stream}: {stream: string}): void {
    void tails.get(stream)?.dispose();
    tails.delete(stream);
  }

  return {
    append: action => void append(action),
    tail: action => {
      stopTail(action);
      const tail = startLogTail(client, action.stream, action.from, push);
      tails.set(action.stream, tail);
    },
    stopTail,
    dispose: () => {
      for (const stream of [...tails.keys()]) stopTail({stream});
    },
  };
}

function appendResult(
  result: Awaited<ReturnType<LogClient['append']>>,
): 'appended' | 'not_appended' | 'unknown' {
  if (result.ok) return 'appended';
  return result.val === 'not_appended' ? 'not_appended' : 'unknown';
}
