import {Stream, type Disposable, type Scheduler, type Sink} from 'most';

/** Pending events at which a source refuses more. */
const DEFAULT_MAX_PENDING = 100_000;

/** A bounded stream that adapters push events into. */
export interface EventSource<E> {
  /**
   * Returns false if the source is full; the adapter then refuses the work or
   * slows down.
   */
  push(event: E): boolean;
  /** For one observer at a time; a later one receives what is pending. */
  readonly stream: Stream<E>;
  /** Number of pushed events that the loop has not received yet. */
  pending(): number;
  /** Number of events that were refused because the source was full. */
  refused(): number;
}

/**
 * Creates a source. Events are delivered after the pushing code returns, in
 * the order of the pushes; `maxPending` bounds those that wait. Events that are
 * pushed before the loop observes the stream are kept for it.
 *
 * The queue is not left to `fromEvent` of `most`, which drops events that are
 * pushed while it delivers others.
 */
export function createEventSource<E>(
  maxPending: number = DEFAULT_MAX_PENDING,
): EventSource<E> {
  let queue: E[] = [];
  let pending = 0;
  let refused = 0;
  let deliver: ((event: E) => void) | undefined;
  let scheduled = false;

  function schedule(): void {
    if (scheduled || !deliver || queue.length === 0) return;
    scheduled = true;
    queueMicrotask(deliverQueue);
  }

  function deliverQueue(): void {
    scheduled = false;
    const batch = queue;
    queue = [];
    let delivered = 0;
    for (const event of batch) {
      if (!deliver) break;
      delivered += 1;
      pending -= 1;
      deliver(event);
    }
    if (delivered < batch.length) queue = [...batch.slice(delivered), ...queue];
    schedule();
  }

  function run(sink: Sink<E>, scheduler: Scheduler): Disposable<E> {
    const own = (event: E): void => deliverTo(sink, scheduler.now(), event);
    deliver = own;
    schedule();
    return {
      dispose: () => {
        if (deliver === own) deliver = undefined;
      },
    };
  }

  return {
    push: event => {
      if (pending >= maxPending) {
        refused += 1;
        return false;
      }
      pending += 1;
      queue.push(event);
      schedule();
      return true;
    },
    stream: new Stream({run}),
    pending: () => pending,
    refused: () => refused,
  };
}

/** An error of an observer ends the stream, as it does in `most`. */
function deliverTo<E>(sink: Sink<E>, atMs: number, event: E): void {
  try {
    sink.event(atMs, event);
  } catch (err) {
    sink.error(atMs, err instanceof Error ? err : new Error(String(err)));
  }
}
