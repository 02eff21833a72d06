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
 * Events that are pushed before the loop observes the stream are kept for it.
 */
export function createEventSource<E>(
  maxPending: number = DEFAULT_MAX_PENDING,
): EventSource<E> {
  const emitter = new EventEmitter();
  let pending = 0;
  /** Undefined once the stream is observed. */
  let unobserved: E[] | undefined = [];

  function deliverUnobserved(): void {
    const events = unobserved ?? [];
    unobserved = undefined;
    for (const event of events) emitter.emit('event', event);
  }

  // Emitted before the listener is added.
  emitter.once('newListener', () => queueMicrotask(deliverUnobserved));

  const stream = fromEvent<E>('event', emitter).tap(() => {
    pending -= 1;
  });

  return {
    push: event => {
      if (pending >= maxPending) return false;
      pending += 1;
      if (unobserved) unobserved.push(event);
      else emitter.emit('event', event);
      return true;
    },
    stream,
    pending: () => pending,
  };
}
