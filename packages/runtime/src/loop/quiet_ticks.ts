import {createEventSource, type EventSource} from './event_source.js';

/** Ticks of a loop that has handled no event for a while. */
export interface QuietTicks<E> {
  readonly stream: EventSource<E>['stream'];
  /** Postpones the next tick until an interval from now. */
  stepped(intervalMs: number): void;
  stop(): void;
}

/**
 * Creates ticks that are due an interval after the last step. A node handles
 * due work in each step, so that the pause between two checks of its timeouts
 * never exceeds the interval, and a busy process is not woken up for ticks.
 */
export function createQuietTicks<E>(
  tick: E,
  intervalMs: number,
): QuietTicks<E> {
  const source = createEventSource<E>();
  // The first tick starts the node.
  source.push(tick);
  let currentMs = intervalMs;
  let timer = setInterval(emit, currentMs);

  function emit(): void {
    source.push(tick);
  }

  function stepped(nextMs: number): void {
    if (nextMs === currentMs) return void timer.refresh();
    clearInterval(timer);
    currentMs = nextMs;
    timer = setInterval(emit, currentMs);
  }

  return {
    stream: source.stream,
    stepped,
    stop: () => clearInterval(timer),
  };
}
