import type {EndpointEntry} from '../registry/endpoint_entry.js';

/** Memory on one engine that is set aside for a request. */
export interface EngineReservation {
  engine: EndpointEntry;
  tokens: number;
  /** `wanted` until the engine has confirmed it. */
  state: 'wanted' | 'held';
  /** Steady clock; when the newest order was sent. */
  orderedMs: number;
}
