import type {EndpointEntry} from '../registry/endpoint_entry.js';

/** The part of a memory reservation on one engine. */
export interface EngineReservation {
  engine: EndpointEntry;
  tokens: number;
  /** `pending` until the engine has confirmed it. */
  state: 'pending' | 'confirmed';
  /** Steady clock; time of the newest order. */
  orderedMs: number;
  /** Steady clock; the engine frees the memory then, if not renewed. */
  heldUntilMs: number;
}
