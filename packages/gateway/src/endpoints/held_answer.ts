import {createBodyCollector} from '@wisterialadder/runtime/http/body_collector.js';
import {KeptBytes} from '@wisterialadder/runtime/memory/kept_bytes.js';
import type {MemoryBudget} from '@wisterialadder/runtime/memory/memory_budget.js';

/** Largest body of an answer that is not a stream. */
const MAX_ANSWER_BYTES = 16_777_216;
/** Unfinished events up to this size are not counted. */
const MAX_EVENT_BYTES = 16_384;

/** What an attempt keeps of its answer within the memory budget. */
export interface HeldAnswer {
  /** Adds a part of the body; returns a fault if it cannot be kept. */
  collect(bytes: Buffer): string | undefined;
  /** Counts an unfinished event; returns a fault if it cannot be kept. */
  holdEvent(bytes: number): string | undefined;
  /** Returns the whole body; its memory counts until it is released. */
  take(): {body: Buffer; more: Buffer[]};
  release(): void;
  /** Drops what was collected. */
  drop(): void;
}

/** Creates a holder without any bytes. */
export function createHeldAnswer(budget: MemoryBudget): HeldAnswer {
  const held = new KeptBytes();
  const body = createBodyCollector(bytes => budget.tryTake(held, bytes));
  const release = (): void => budget.remove(held);

  function collect(bytes: Buffer): string | undefined {
    if (body.length() + bytes.length > MAX_ANSWER_BYTES)
      return 'answer too long';
    return body.append(bytes) ? undefined : 'memory short';
  }

  function holdEvent(bytes: number): string | undefined {
    if (bytes <= MAX_EVENT_BYTES && held.heldBytes === 0) return undefined;
    const missing = bytes - held.heldBytes;
    if (missing < 0) budget.giveBack(held, -missing);
    const kept = missing <= 0 || budget.tryTake(held, missing);
    return kept ? undefined : 'memory short';
  }

  return {
    collect,
    holdEvent,
    take: () => {
      const [first = Buffer.alloc(0), ...more] = body.takeBlocks();
      return {body: first, more};
    },
    release,
    drop: () => {
      body.drop();
      release();
    },
  };
}
