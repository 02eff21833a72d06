import type {CancelAttempt} from '../gateway/actions/cancel_attempt.js';
import type {OrderMemory} from '../gateway/actions/order_memory.js';
import type {StartAttempt} from '../gateway/actions/start_attempt.js';
import type {GatewayEvent} from '../gateway/events/gateway_event.js';
import type {FleetPrompt} from './fleet_engines.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';

/** Endpoints that a fleet of gateways under test sends requests to. */
export interface FleetEndpoints {
  /** Registered endpoints. */
  entries(): EndpointEntry[];
  take(
    gateway: string,
    action: StartAttempt,
    prompt: FleetPrompt,
    reply: (event: GatewayEvent) => void,
  ): void;
  cancel(gateway: string, action: CancelAttempt): void;
  /** Carries out an order about memory; without it, orders are lost. */
  order?(action: OrderMemory, reply: (event: GatewayEvent) => void): void;
}
