import {EventEmitter} from 'node:events';
import {fromEvent, type Stream} from 'most';

/** Events that wait for the loop before a source refuses more. */
const DEFAULT_MAX_PENDING = 100_000;

/** A stream that adapters push events into. */
export interface EventSource<E> {
  /** False if the source is full; the caller then refuses or slows down. */
  push(event: E): boolean;
  readonly stream: Stream<E>;
  /** Events pushed that the loop has not taken yet. */
  pending(): number;
}

/**
 * Creates a source. `most` delivers after the pushing code returns, so what
 * one turn pushes is held until the next; the bound keeps that finite.
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
