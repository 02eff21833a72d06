import type {PlatformAction} from './platform_action.js';
import type {PlatformContext} from './platform_context.js';
import type {PlatformFaults} from './platform_faults.js';

/** Sends responses after their normal time and any injected delay. */
export interface DelayedResponses {
  /** `afterMs` is the response time without faults. */
  send(ctx: PlatformContext, action: PlatformAction, afterMs?: number): void;
  /** Sends the responses that are due. */
  advance(ctx: PlatformContext): void;
}

interface DelayedResponse {
  dueMs: number;
  action: PlatformAction;
}

/** Creates an empty queue. */
export function createDelayedResponses(
  faults: PlatformFaults,
): DelayedResponses {
  let pending: DelayedResponse[] = [];

  return {
    send: (ctx, action, afterMs = 0) => {
      const isSlow = faults.slow > 0 && ctx.random() < faults.slow;
      const delayMs = afterMs + (isSlow ? faults.slowMs : 0);
      if (delayMs === 0) ctx.emit(action);
      else pending.push({dueMs: ctx.nowMs + delayMs, action});
    },
    advance: ctx => {
      const due = pending.filter(({dueMs}) => dueMs <= ctx.nowMs);
      if (due.length === 0) return;
      pending = pending.filter(({dueMs}) => dueMs > ctx.nowMs);
      for (const {action} of due) ctx.emit(action);
    },
  };
}
