import type {PlacerContext} from './placer_context.js';

/** Reports to the readiness probe whenever its answer changes. */
export interface ReadinessReporter {
  report(ctx: PlacerContext, loaded: boolean, running: boolean): void;
}

/** Creates a reporter that has reported nothing. */
export function createReadinessReporter(): ReadinessReporter {
  let announced: string | undefined;

  function report(ctx: PlacerContext, loaded: boolean, running: boolean): void {
    const table = loaded ? '' : 'no table yet';
    const reason = running ? table : 'draining';
    if (reason === announced) return;
    announced = reason;
    ctx.emit({kind: 'set_ready', ready: reason === '', reason});
    ctx.emit({kind: 'write_log', event: 'WL9005', fields: {reason}});
  }

  return {report};
}
