import type {GatewayContext} from '../gateway/gateway_context.js';
import type {ChangeSource} from '../registry/change_source.js';

/** Time that the store needs to list all live endpoints again. */
const RELISTING_MS = 2_000;

/** What this gateway knows of the newest outage of the store. */
export interface StoreOutage {
  /** A call of this gateway failed. */
  failed(nowMs: number): void;
  /** The store has answered this gateway. */
  answered(ctx: GatewayContext): void;
  /**
   * The store has answered the gateway that reads for all.
   * @param atMs steady clock; when it was known to answer
   * @param retaining whether the reader holds the list to be incomplete
   */
  answeredReader(ctx: GatewayContext, atMs: number, retaining: boolean): void;
  /**
   * Steady clock; until then, the store may lack endpoints that live: without
   * end until it is known to answer after the time that it needs to list them
   * again, in the past if there was no outage.
   */
  relistedMs(): number;
  /**
   * Whether the list of this gateway may be incomplete: also if it has just
   * started, as there may have been an outage before.
   */
  mayLack(nowMs: number): boolean;
}

/** Creates the knowledge of a gateway that has not called the store. */
export function createStoreOutage(): StoreOutage {
  let lastFailureMs = Number.NEGATIVE_INFINITY;
  let lastAnswerMs = Number.NEGATIVE_INFINITY;
  let relistedMs = Number.NEGATIVE_INFINITY;
  let firstAnswerMs: number | undefined;

  function relisted(): number {
    return lastAnswerMs >= relistedMs ? relistedMs : Number.POSITIVE_INFINITY;
  }

  function end(
    ctx: GatewayContext,
    newRelistedMs: number,
    source: ChangeSource,
  ): void {
    const retainedForMs = Math.max(0, Math.round(newRelistedMs - ctx.nowMs));
    relistedMs = newRelistedMs;
    const fields = {source, retainedForMs};
    ctx.emit({kind: 'write_log', event: 'WL8006', fields});
  }

  function answered(
    ctx: GatewayContext,
    atMs: number,
    source: ChangeSource,
  ): void {
    lastAnswerMs = Math.max(lastAnswerMs, atMs);
    const ongoing = relistedMs === Number.POSITIVE_INFINITY;
    if (ongoing && atMs >= lastFailureMs) end(ctx, atMs + RELISTING_MS, source);
  }

  return {
    failed: nowMs => {
      lastFailureMs = nowMs;
      relistedMs = Number.POSITIVE_INFINITY;
    },
    answered: ctx => {
      firstAnswerMs ??= ctx.nowMs;
      answered(ctx, ctx.nowMs, 'store');
    },
    answeredReader: (ctx, atMs, retaining) => {
      answered(ctx, atMs, 'reader');
      const outlasted = !retaining && atMs >= lastFailureMs;
      if (outlasted && relistedMs > atMs) end(ctx, atMs, 'reader');
    },
    relistedMs: relisted,
    mayLack: nowMs =>
      relisted() > nowMs || nowMs - (firstAnswerMs ?? nowMs) < RELISTING_MS,
  };
}
