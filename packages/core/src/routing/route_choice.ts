import type {EndpointView} from '../endpoints/endpoint_view.js';

/** A chosen endpoint and why. */
export interface RouteChoice {
  endpoint: EndpointView;
  /** Expected milliseconds to the first token; 0 if not estimated. */
  costMs: number;
  reason: string;
}
