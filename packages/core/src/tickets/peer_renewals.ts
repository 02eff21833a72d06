import type {HintHandler} from '../endpoint_hints/hint_handler.js';
import type {EndpointPauses} from '../endpoint_hints/endpoint_pauses.js';
import type {MemoryRenewal} from '../fleet/messages/memory_renewal.js';
import type {MemorySettled} from '../gateway/events/memory_settled.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import type {EndpointRegistry} from '../registry/endpoint_registry.js';
import {HOLD_MS} from './hold_time.js';

/** A peer that has not been answered by then has asked another gateway. */
const ANSWER_TIMEOUT_MS = 1_500;

/** Dependencies of the renewals. */
export interface PeerRenewalParts {
  registry: EndpointRegistry;
  pauses: EndpointPauses;
  hints: HintHandler;
}

interface Renewal {
  /** Peer address of the gateway that asked. */
  peer: string;
  engine: EndpointEntry;
  askedMs: number;
}

/**
 * Renews reservations of peers that an engine wants no orders from. A peer
 * asks for each renewal, so that they end when it dies.
 */
export function createPeerRenewals(parts: PeerRenewalParts): GatewayFeature {
  const {registry, pauses, hints} = parts;
  const renewals = new Map<string, Renewal>();

  function asked(
    ctx: GatewayContext,
    peer: string,
    {ticket, endpoint, tokens}: MemoryRenewal,
  ): void {
    const engine = registry.get(endpoint)?.entry;
    if (!engine || pauses.isPaused(engine, ctx.nowMs)) return;
    renewals.set(ticket, {peer, engine, askedMs: ctx.nowMs});
    const {address} = engine;
    const target = {ticket, endpoint, address, tokens, holdMs: HOLD_MS};
    ctx.emit({kind: 'order_memory', order: 'reserve', ...target});
  }

  function settled(ctx: GatewayContext, event: MemorySettled): void {
    const {ticket, endpoint} = event;
    const renewal = renewals.get(ticket);
    if (renewal?.engine.id !== endpoint) return;
    renewals.delete(ticket);
    hints.apply(ctx, renewal.engine, event.hints);
    if (event.answer !== 'done') return;
    const message = {kind: 'memory_renewed', ticket, endpoint} as const;
    ctx.emit({kind: 'send_peers', to: [renewal.peer], message});
  }

  function expire({nowMs}: GatewayContext): void {
    for (const [ticket, {askedMs}] of renewals) {
      if (nowMs - askedMs >= ANSWER_TIMEOUT_MS) renewals.delete(ticket);
    }
  }

  return {
    handlers: {
      peer_received: (ctx, {from, message}) => {
        if (message.kind === 'memory_renewal') asked(ctx, from, message);
      },
      memory_settled: settled,
    },
    expire,
  };
}
