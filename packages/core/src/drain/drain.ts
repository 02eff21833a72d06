import type {RouterContext} from '../router/router_context.js';

/** Stage of a router's life. */
export type DrainStage = 'running' | 'notice' | 'draining' | 'stopped';

/** Graceful shutdown: not ready first, then drain, then exit. */
export interface Drain {
  stage(): DrainStage;
  /** The first call starts the drain; the second cuts it short. */
  stopRequested(ctx: RouterContext, inFlight: number): void;
  /** Moves on when the notice has passed and nothing is in flight. */
  advance(ctx: RouterContext, inFlight: number): void;
}

/** What the drain needs of the router. */
export interface DrainParts {
  /** Time between "not ready" and refusing requests, in milliseconds. */
  noticeMs: number;
  /** Ends every request that is still in flight. */
  cutAll(ctx: RouterContext): void;
}

/** Creates the drain of a running router. */
export function createDrain(parts: DrainParts): Drain {
  let stage: DrainStage = 'running';
  let noticeEndsMs = 0;

  function stopRequested(ctx: RouterContext, inFlight: number): void {
    if (stage === 'running') {
      stage = 'notice';
      noticeEndsMs = ctx.nowMs + parts.noticeMs;
      ctx.emit({kind: 'write_log', event: 'WL9002', fields: {inFlight}});
      return;
    }
    if (stage === 'stopped') return;
    parts.cutAll(ctx);
    stop(ctx, inFlight);
  }

  function advance(ctx: RouterContext, inFlight: number): void {
    if (stage === 'notice' && ctx.nowMs >= noticeEndsMs) stage = 'draining';
    if (stage === 'draining' && inFlight === 0) stop(ctx, 0);
  }

  function stop(ctx: RouterContext, cut: number): void {
    stage = 'stopped';
    ctx.emit({kind: 'write_log', event: 'WL9003', fields: {cut}});
    ctx.emit({kind: 'exit', code: cut > 0 ? 1 : 0});
  }

  return {stage: () => stage, stopRequested, advance};
}
