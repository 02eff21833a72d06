import type {PlatformAction} from './platform_action.js';
import type {PlatformContext} from './platform_context.js';
import type {PlatformFaults} from './platform_faults.js';

/** Answers that leave at once, or later by a fault. */
export interface LateAnswers {
  /** `afterMs` is the time that the answer takes without a fault. */
  send(ctx: PlatformContext, action: PlatformAction, afterMs?: number): void;
  advance(ctx: PlatformContext): void;
}

interface LateAnswer {
  dueMs: number;
  action: PlatformAction;
}

/** Creates an empty queue. */
export function createLateAnswers(faults: PlatformFaults): LateAnswers {
  let waiting: LateAnswer[] = [];

  return {
    send: (ctx, action, afterMs = 0) => {
      const slow = faults.slow > 0 && ctx.random() < faults.slow;
      const delayMs = afterMs + (slow ? faults.slowMs : 0);
      if (delayMs === 0) ctx.emit(action);
      else waiting.push({dueMs: ctx.nowMs + delayMs, action});
    },
    advance: ctx => {
      const due = waiting.filter(({dueMs}) => dueMs <= ctx.nowMs);
      if (due.length === 0) return;
      waiting = waiting.filter(({dueMs}) => dueMs > ctx.nowMs);
      for (const {action} of due) ctx.emit(action);
    },
  };
}
