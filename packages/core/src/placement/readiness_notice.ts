import type {PlacerContext} from './placer_context.js';

/** Tells the readiness probe whenever its answer changes. */
export interface ReadinessNotice {
  tell(ctx: PlacerContext, loaded: boolean, running: boolean): void;
}

/** Creates a notice that has told nothing. */
export function createReadinessNotice(): ReadinessNotice {
  let announced: string | undefined;

  function tell(ctx: PlacerContext, loaded: boolean, running: boolean): void {
    const table = loaded ? '' : 'no table yet';
    const reason = running ? table : 'draining';
    if (reason === announced) return;
    announced = reason;
    ctx.emit({kind: 'set_ready', ready: reason === '', reason});
    ctx.emit({kind: 'write_log', event: 'WL9005', fields: {reason}});
  }

  return {tell};
}
