import {
  createSharedLimits,
  type SharedLimits,
} from '../limits/shared_limits.js';
import type {RouterAction} from '../router/actions/router_action.js';
import type {RouterContext} from '../router/router_context.js';
import type {RouterEvent} from '../router/events/router_event.js';
import {runFeatures} from '../shared/run_features.js';
import type {CustomerRow} from '../types/customer_row.js';
import type {RandomSource} from '../types/random_source.js';

/** One process that runs the limits of one customer. */
export interface VirtualLimitNode {
  readonly address: string;
  readonly limits: SharedLimits;
  /** Members that the process considers alive. */
  readonly view: {alive: string[]};
  inFlight: number;
  step(event: RouterEvent, nowMs: number): RouterAction[];
  /** Offers a request; returns whether it was admitted. */
  offer(nowMs: number, tokens: number, emitted: RouterAction[]): boolean;
  release(nowMs: number): void;
  /** Rates and slots that apply now. */
  amounts(nowMs: number): ReturnType<SharedLimits['amounts']>;
}

/** Starts a process whose monotonic clock has its own origin. */
export function startVirtualLimitNode(
  address: string,
  incarnation: number,
  alive: string[],
  fleetSize: number,
  customer: CustomerRow,
  random: RandomSource,
): VirtualLimitNode {
  const view = {alive};
  const limits = createSharedLimits({
    members: {
      self: address,
      alive: () => view.alive,
      incarnation: () => incarnation,
    },
    incarnation,
    fleetSize,
    customer: name => (name === customer.name ? customer : undefined),
  });
  const decisions = runFeatures([limits]);
  const originMs = Math.floor(random() * 1e6);

  function context(nowMs: number, emitted: RouterAction[]): RouterContext {
    return {
      nowMs: originMs + nowMs,
      wallMs: 1.7e12 + nowMs,
      random,
      emit: action => emitted.push(action),
    };
  }

  const node: VirtualLimitNode = {
    address,
    limits,
    view,
    inFlight: 0,
    step: (event, nowMs) => decisions.step({event, ...context(nowMs, [])}),
    offer: (nowMs, tokens, emitted) => {
      const ctx = context(nowMs, emitted);
      const {ok} = limits.admit(ctx, customer, tokens);
      if (ok) node.inFlight += 1;
      return ok;
    },
    release: nowMs => {
      node.inFlight -= 1;
      limits.release(context(nowMs, []), customer.name);
    },
    amounts: nowMs => limits.amounts(originMs + nowMs, customer),
  };
  return node;
}
