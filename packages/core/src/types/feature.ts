import type {StepContext} from './step_context.js';

/** Handlers registered by the kind of event. */
export type EventHandlers<E extends {kind: string}, A> = {
  [K in E['kind']]?: (
    ctx: StepContext<A>,
    event: Extract<E, {kind: K}>,
  ) => void;
};

/** A part of a node that takes part in each step. */
export interface Feature<E extends {kind: string}, A> {
  handlers: EventHandlers<E, A>;
  /** Called once, before the first event. */
  start?(ctx: StepContext<A>): void;
  /** Judges what is due by `ctx.nowMs`; called before each event. */
  expire?(ctx: StepContext<A>): void;
  /** Called after the handlers of each event. */
  settle?(ctx: StepContext<A>): void;
}
