import type {Exit} from '../router/actions/exit.js';
import type {WriteLog} from '../router/actions/write_log.js';
import type {StepContext} from '../types/step_context.js';

type DrainContext = StepContext<Exit | WriteLog>;

/** Stage of a process from running to stopped. */
export type DrainStage = 'running' | 'notice' | 'draining' | 'stopped';

/** Graceful shutdown: not ready first, then drain, then exit. */
export interface Drain<C extends DrainContext> {
  stage(): DrainStage;
  /** The first call starts the drain; the second aborts all requests. */
  stopRequested(ctx: C, inFlight: number): void;
  /** Enters the next stage after the notice and when nothing is in flight. */
  advance(ctx: C, inFlight: number): void;
}

/** Dependencies of the drain. */
export interface DrainParts<C extends DrainContext> {
  /** Time between "not ready" and refusing requests, in milliseconds. */
  noticeMs(): number;
  /** Time after which requests in flight are aborted; undefined for never. */
  limitMs(): number | undefined;
  /** Aborts every request in flight. */
  abortAll(ctx: C): void;
}

/** Creates the drain of a running process. */
export function createDrain<C extends DrainContext>(
  parts: DrainParts<C>,
): Drain<C> {
  let stage: DrainStage = 'running';
  let requestedMs = 0;

  function stopRequested(ctx: C, inFlight: number): void {
    if (stage === 'running') {
      stage = 'notice';
      requestedMs = ctx.nowMs;
      ctx.emit({kind: 'write_log', event: 'WL9002', fields: {inFlight}});
      return;
    }
    if (stage !== 'stopped') abortAndStop(ctx, inFlight);
  }

  function advance(ctx: C, inFlight: number): void {
    const elapsedMs = ctx.nowMs - requestedMs;
    if (stage === 'notice' && elapsedMs >= parts.noticeMs()) stage = 'draining';
    if (stage !== 'draining') return;
    if (inFlight === 0) stop(ctx, 0);
    else if (elapsedMs >= (parts.limitMs() ?? Infinity))
      abortAndStop(ctx, inFlight);
  }

  function abortAndStop(ctx: C, inFlight: number): void {
    parts.abortAll(ctx);
    stop(ctx, inFlight);
  }

  function stop(ctx: C, abortedRequests: number): void {
    stage = 'stopped';
    const fields = {cut: abortedRequests};
    ctx.emit({kind: 'write_log', event: 'WL9003', fields});
    ctx.emit({kind: 'exit', code: abortedRequests > 0 ? 1 : 0});
  }

  return {stage: () => stage, stopRequested, advance};
}
