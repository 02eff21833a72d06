import type {Drain} from '../drain/drain.js';
import type {GatewayContext} from './gateway_context.js';
import type {GatewayFeature} from './gateway_feature.js';

/**
 * Creates the feature that ends the process once its requests have ended.
 * @param inFlight number of requests without a final answer
 */
export function createGatewayShutdown(
  drain: Drain<GatewayContext>,
  inFlight: () => number,
): GatewayFeature {
  return {
    handlers: {
      stop_requested: ctx => {
        drain.stopRequested(ctx, inFlight());
        ctx.emit({kind: 'close_callers', idleToo: false});
      },
    },
    expire: ctx => {
      const before = drain.stage();
      drain.advance(ctx, inFlight());
      if (before === 'notice' && drain.stage() === 'draining') {
        ctx.emit({kind: 'close_callers', idleToo: true});
      }
    },
    settle: ctx => drain.advance(ctx, inFlight()),
  };
}
