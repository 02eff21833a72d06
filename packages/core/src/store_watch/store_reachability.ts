import type {GatewayContext} from '../gateway/gateway_context.js';
import type {StoreCall} from './store_call.js';
import type {StoreFailure} from './store_failure.js';

/** Whether the store answers this process. */
export interface StoreReachability {
  reachable(): boolean;
  answered(ctx: GatewayContext): void;
  failed(ctx: GatewayContext, call: StoreCall, failure: StoreFailure): void;
}

/** Creates the reachability of a store that has not answered yet. */
export function createStoreReachability(): StoreReachability {
  let reachable = false;

  return {
    reachable: () => reachable,
    answered: ctx => {
      if (reachable) return;
      reachable = true;
      ctx.emit({kind: 'write_log', event: 'WL8002', fields: {reachable}});
    },
    failed: (ctx, call, failure) => {
      if (!reachable) return;
      reachable = false;
      const fields = {reachable, call, failure};
      ctx.emit({kind: 'write_log', event: 'WL8002', fields});
    },
  };
}
