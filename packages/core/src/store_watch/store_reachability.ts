import type {GatewayContext} from '../gateway/gateway_context.js';
import type {StoreCall} from './store_call.js';
import type {StoreFailure} from './store_failure.js';

/** Whether the store answers this process. */
export interface StoreReachability {
  reachable(): boolean;
  /** @returns whether calls had failed since the previous answer */
  answered(ctx: GatewayContext): boolean;
  failed(ctx: GatewayContext, call: StoreCall, failure: StoreFailure): void;
}

/** Creates the reachability of a store that has not answered yet. */
export function createStoreReachability(): StoreReachability {
  let reachable = false;
  let failedSinceAnswer = false;

  return {
    reachable: () => reachable,
    answered: ctx => {
      if (!reachable) {
        reachable = true;
        ctx.emit({kind: 'write_log', event: 'WL8002', fields: {reachable}});
      }
      const recovered = failedSinceAnswer;
      failedSinceAnswer = false;
      return recovered;
    },
    failed: (ctx, call, failure) => {
      failedSinceAnswer = true;
      if (!reachable) return;
      reachable = false;
      const fields = {reachable, call, failure};
      ctx.emit({kind: 'write_log', event: 'WL8002', fields});
    },
  };
}
