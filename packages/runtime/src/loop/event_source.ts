import {EventEmitter} from 'node:events';
import {fromEvent, type Stream} from 'most';

/** Pending events at which a source refuses more. */
const DEFAULT_MAX_PENDING = 100_000;

/** A bounded stream that adapters push events into. */
export interface EventSource<E> {
  /**
   * Returns false if the source is full; the adapter then refuses the work or
   * slows down.
   */
  push(event: E): boolean;
  readonly stream: Stream<E>;
  /** Number of pushed events that the loop has not received yet. */
  pending(): number;
}

/**
 * Creates a source. `most` delivers after the pushing code returns, so events
 * pushed in one turn are buffered until the next; `maxPending` bounds them.
 */
export function createEventSource<E>(
  maxPending: number = DEFAULT_MAX_PENDING,
): EventSource<E> {
  const emitter = new EventEmitter();
  let pending = 0;

  const stream = fromEvent<E>('event', emitter).tap(() => {
    pending -= 1;
  });

  return {
    push: event => {
      if (pending >= maxPending) return false;
      pending += 1;
      emitter.emit('event', event);
      return true;
    },
    stream,
    pending: () => pending,
  };
}
