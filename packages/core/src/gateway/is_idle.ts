import type {Drain} from '../drain/drain.js';
import type {Forwarding} from '../forwarding/forwarding.js';
import type {StoreWatch} from '../store_watch/store_watch.js';
import type {GatewayContext} from './gateway_context.js';

/** Parts of a gateway that may have work that falls due soon. */
export interface IdleParts {
  store: Pick<StoreWatch, 'loaded' | 'isReader'>;
  drain: Pick<Drain<GatewayContext>, 'stage'>;
  forwarding: Pick<Forwarding, 'inFlight'>;
}

/**
 * Whether a gateway neither has requests in flight nor starts, stops or reads
 * the store for the fleet. Its work then falls due every half second or later.
 */
export function isIdle(
  {store, drain, forwarding}: IdleParts,
  nowMs: number,
): boolean {
  const idle = forwarding.inFlight() === 0 && drain.stage() === 'running';
  return idle && store.loaded() && !store.isReader(nowMs);
}
