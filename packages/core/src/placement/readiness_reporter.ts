import type {PlacerContext} from './placer_context.js';

/** Sets the answer of the readiness probe whenever it changes. */
export interface ReadinessReporter {
  report(ctx: PlacerContext, loaded: boolean, running: boolean): void;
}

/** Creates a reporter that has reported nothing. */
export function createReadinessReporter(): ReadinessReporter {
  let lastReason: string | undefined;

  function report(ctx: PlacerContext, loaded: boolean, running: boolean): void {
    const tableReason = loaded ? '' : 'no table yet';
    const reason = running ? tableReason : 'draining';
    if (reason === lastReason) return;
    lastReason = reason;
    ctx.emit({kind: 'set_ready', ready: reason === '', reason});
    ctx.emit({kind: 'write_log', event: 'WL9005', fields: {reason}});
  }

  return {report};
}
