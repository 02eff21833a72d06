import type {EndpointEntry} from '../registry/endpoint_entry.js';

/** The part of a memory reservation on one engine. */
export interface EngineReservation {
  engine: EndpointEntry;
  tokens: number;
  /** `pending` until the engine has confirmed the newest order. */
  state: 'pending' | 'confirmed';
  /** Steady clock; time of the newest order. */
  orderedMs: number;
}
