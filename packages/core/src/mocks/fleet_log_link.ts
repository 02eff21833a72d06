import type {Append} from '../router/actions/append.js';
import type {RouterEvent} from '../router/events/router_event.js';
import type {LogStream} from '../types/log_stream.js';
import type {FleetEnvironment} from './fleet_environment.js';

const RETRY_MS = 250;
const LOST_ANSWER_MS = 300;
const POLL_MS = 10;

/** Connection of one router process to the log. */
export interface FleetLogLink {
  append(action: Append): void;
  tail(stream: LogStream, from: number): void;
  stopTail(stream: LogStream): void;
  close(): void;
}

/** Creates a link that tails no stream. */
export function createFleetLogLink(
  env: FleetEnvironment,
  deliver: (event: RouterEvent) => void,
): FleetLogLink {
  const {clock, random, log, faults, journal} = env;
  const activeTails = new Map<LogStream, object>();

  function latencyMs(): number {
    return 1 + random() * faults.logLatencyMs;
  }

  // An append takes effect even if its router has crashed in the meantime.
  function append({appendId, stream, data}: Append): void {
    if (stream.startsWith('claims-')) {
      journal.claimAppends += 1;
      journal.claimBytes += data.length;
    }
    clock.after(latencyMs(), () => {
      const settle = (
        delayMs: number,
        result: 'appended' | 'not_appended' | 'unknown',
        offset = -1,
      ): void =>
        clock.after(delayMs, () =>
          deliver({kind: 'append_settled', appendId, result, offset}),
        );
      if (faults.logDown) return settle(latencyMs(), 'not_appended');
      if (random() < faults.lostAppends) {
        return settle(LOST_ANSWER_MS, 'unknown');
      }
      const offset = log.append(stream, data);
      if (random() < faults.lostAnswers) settle(LOST_ANSWER_MS, 'unknown');
      else settle(latencyMs(), 'appended', offset);
    });
  }

  function tail(stream: LogStream, from: number): void {
    const token = {};
    let next = from;
    let first = true;
    activeTails.set(stream, token);
    const poll = (): void => {
      if (activeTails.get(stream) !== token) return;
      if (faults.logDown) {
        deliver({kind: 'log_read_failed', stream});
        clock.after(RETRY_MS, poll);
        return;
      }
      const batch = log.read(stream, next);
      if (first || batch.records.length > 0) {
        deliver({kind: 'log_read', stream, from: next, ...batch});
      }
      first = false;
      next = batch.records.at(-1) ? batch.end : next;
      clock.after(POLL_MS + latencyMs(), poll);
    };
    clock.after(latencyMs(), poll);
  }

  return {
    append,
    tail,
    stopTail: stream => activeTails.delete(stream),
    close: () => activeTails.clear(),
  };
}
