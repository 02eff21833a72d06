import type {MemorySettled} from '../gateway/events/memory_settled.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import type {EndpointChoice} from '../spread/endpoint_choice.js';
import type {MemoryOrder} from './memory_order.js';
import type {TicketHolding} from './ticket_holding.js';
import type {TicketSet} from './ticket_set.js';

/**
 * Time after which an engine frees memory that nobody prolongs. It bounds how
 * long memory stays set aside after its gateway has died.
 */
const HOLD_MS = 3_500;
/** Pause between two orders that prolong the same memory. */
const PROLONG_INTERVAL_MS = 1_200;
/** An order whose answer is lost is sent again after this time. */
const REPEAT_INTERVAL_MS = 500;

/** Memory of several engines for prompts that no engine can hold alone. */
export interface Tickets extends GatewayFeature {
  /** Sets memory aside for a request that is to run as chosen. */
  begin(ctx: GatewayContext, reqId: string, choice: EndpointChoice): void;
  /** Frees what is set aside for a request. */
  release(ctx: GatewayContext, reqId: string): void;
}

/** What the tickets need. */
export interface TicketParts {
  /** Peer address of this gateway; makes ids unique. */
  self: string;
  incarnation: number;
  /** Everything is set aside: the request may start. */
  ready(ctx: GatewayContext, reqId: string, set: TicketSet): void;
  /** The engine would not set memory aside; everything was freed. */
  refused(ctx: GatewayContext, reqId: string, engine: string): void;
}

/** Creates tickets of which none is held. */
export function createTickets(parts: TicketParts): Tickets {
  const sets = new Map<string, TicketSet>();
  let begun = 0;

  function begin(
    ctx: GatewayContext,
    reqId: string,
    choice: EndpointChoice,
  ): void {
    begun += 1;
    const ticket = `${parts.self}/${parts.incarnation}/${begun}`.replace(
      /[^0-9]/g,
      '-',
    );
    const set: TicketSet = {
      reqId,
      ticket,
      choice,
      holdings: new Map(),
      used: false,
    };
    sets.set(reqId, set);
    for (const engine of choice.helpers) {
      const holding: TicketHolding = {
        engine,
        tokens: choice.helperTokens,
        state: 'wanted',
        orderedMs: ctx.nowMs,
      };
      set.holdings.set(engine.id, holding);
      order(ctx, set, holding, 'reserve');
    }
  }

  function order(
    ctx: GatewayContext,
    set: TicketSet,
    holding: TicketHolding,
    kind: MemoryOrder,
  ): void {
    holding.orderedMs = ctx.nowMs;
    ctx.emit({
      kind: 'order_memory',
      ticket: set.ticket,
      endpoint: holding.engine.id,
      address: holding.engine.address,
      order: kind,
      tokens: holding.tokens,
      holdMs: HOLD_MS,
    });
  }

  function settled(ctx: GatewayContext, event: MemorySettled): void {
    const set = [...sets.values()].find(({ticket}) => ticket === event.ticket);
    const holding = set?.holdings.get(event.endpoint);
    if (!set || !holding) return;
    if (event.answer === 'done') {
      if (holding.state === 'held') return;
      holding.state = 'held';
      return startIfComplete(ctx, set);
    }
    report(ctx, set, holding, event.answer);
    if (set.used) {
      // The request is cut off by the engine if the memory is lost. An engine
      // that refuses connections answers at once, so it is asked later.
      if (event.answer === 'unknown') holding.state = 'wanted';
      return;
    }
    release(ctx, set.reqId);
    parts.refused(ctx, set.reqId, event.endpoint);
  }

  function startIfComplete(ctx: GatewayContext, set: TicketSet): void {
    const holdings = [...set.holdings.values()];
    if (set.used || holdings.some(({state}) => state !== 'held')) return;
    set.used = true;
    parts.ready(ctx, set.reqId, set);
  }

  function report(
    ctx: GatewayContext,
    set: TicketSet,
    holding: TicketHolding,
    answer: string,
  ): void {
    const {reqId, used} = set;
    const {engine, tokens} = holding;
    const fields = {reqId, endpoint: engine.id, tokens, answer, used};
    ctx.emit({kind: 'write_log', event: 'WL8401', fields});
  }

  function expire(ctx: GatewayContext): void {
    for (const set of sets.values()) {
      for (const holding of set.holdings.values()) {
        const pauseMs =
          holding.state === 'held' ? PROLONG_INTERVAL_MS : REPEAT_INTERVAL_MS;
        if (ctx.nowMs - holding.orderedMs < pauseMs) continue;
        order(ctx, set, holding, 'reserve');
      }
    }
  }

  function release(ctx: GatewayContext, reqId: string): void {
    const set = sets.get(reqId);
    if (!set) return;
    sets.delete(reqId);
    for (const holding of set.holdings.values()) {
      order(ctx, set, holding, 'release');
    }
  }

  return {handlers: {memory_settled: settled}, expire, begin, release};
}
