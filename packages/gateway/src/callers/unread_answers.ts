import {performance} from 'node:perf_hooks';
import type {ServerResponse} from 'node:http';
import type {MemoryBudget} from '@wisterialadder/runtime/memory/memory_budget.js';
import type {AnswerLimits} from './answer_limits.js';
import {UnreadAnswer} from './unread_answer.js';

/** Answers of this size fit into what each connection is granted. */
const MIN_HELD_BYTES = 16_384;

/** Keeps what waits for slow readers within the memory budget. */
export interface UnreadAnswers {
  /** Holds a complete body until it is sent. */
  holdBody(
    res: ServerResponse,
    bodyBytes: number,
    unsentBytes: () => number,
    breakOff: () => void,
  ): void;
  /** Holds what a write has left unsent; false if there is no room for it. */
  holdStream(res: ServerResponse, bytes: number, breakOff: () => void): boolean;
}

/**
 * Creates the record of a process that has no unread answer.
 * @param onBrokenOff called for each answer that is given up
 */
export function createUnreadAnswers(
  budget: MemoryBudget,
  limits: () => AnswerLimits,
  onBrokenOff: () => void,
): UnreadAnswers {
  const streams = new WeakMap<ServerResponse, UnreadAnswer>();

  function holdBody(
    res: ServerResponse,
    bodyBytes: number,
    unsentBytes: () => number,
    breakOff: () => void,
  ): void {
    if (bodyBytes < MIN_HELD_BYTES) return;
    const holder = create(unsentBytes, breakOff);
    res.once('close', () => budget.remove(holder));
    if (!budget.tryTake(holder, bodyBytes)) breakOff();
  }

  function holdStream(
    res: ServerResponse,
    bytes: number,
    breakOff: () => void,
  ): boolean {
    const unsentBytes = res.writableLength;
    if (unsentBytes > limits().maxUnreadBytes) return false;
    const holder = streams.get(res) ?? openStream(res, breakOff);
    holder.added(bytes);
    const missing = unsentBytes - holder.heldBytes;
    return missing <= 0 || budget.tryTake(holder, missing);
  }

  function openStream(res: ServerResponse, breakOff: () => void): UnreadAnswer {
    const holder = create(() => res.writableLength, breakOff);
    const remove = (): void => {
      budget.remove(holder);
      streams.delete(res);
      res.off('close', remove);
      res.off('drain', remove);
    };
    res.once('drain', remove);
    res.once('close', remove);
    streams.set(res, holder);
    return holder;
  }

  function create(
    unsentBytes: () => number,
    breakOff: () => void,
  ): UnreadAnswer {
    const {stallMs} = limits();
    return new UnreadAnswer(unsentBytes, stallMs, performance.now(), () => {
      onBrokenOff();
      breakOff();
    });
  }

  return {holdBody, holdStream};
}
