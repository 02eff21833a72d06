import type {StoreWatch} from '../store_watch/store_watch.js';
import type {Drain} from '../drain/drain.js';
import type {GatewayContext} from './gateway_context.js';
import type {GatewayFeature} from './gateway_feature.js';

/** Creates the feature that reports readiness for new callers. */
export function createGatewayReadiness(
  store: StoreWatch,
  drain: Drain<GatewayContext>,
): GatewayFeature {
  let reported: string | undefined;

  return {
    handlers: {},
    settle: ctx => {
      const draining = drain.stage() !== 'running';
      const ready = !draining && store.loaded();
      const reason = draining ? 'draining' : ready ? '' : 'nothing read';
      if (reported === `${ready}${reason}`) return;
      reported = `${ready}${reason}`;
      ctx.emit({kind: 'set_ready', ready, reason});
      ctx.emit({kind: 'write_log', event: 'WL9005', fields: {ready, reason}});
    },
  };
}
