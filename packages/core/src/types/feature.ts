import type {StepContext} from './step_context.js';

/** Handlers by kind of event. */
export type EventHandlers<E extends {kind: string}, A> = {
  [K in E['kind']]?: (
    ctx: StepContext<A>,
    event: Extract<E, {kind: K}>,
  ) => void;
};

/** A component of a node that is called in each step. */
export interface Feature<E extends {kind: string}, A> {
  handlers: EventHandlers<E, A>;
  /** Called once, before the first event. */
  start?(ctx: StepContext<A>): void;
  /** Handles work that is due at `ctx.nowMs`; called before each event. */
  expire?(ctx: StepContext<A>): void;
  /** Called after the handlers of each event. */
  settle?(ctx: StepContext<A>): void;
}
