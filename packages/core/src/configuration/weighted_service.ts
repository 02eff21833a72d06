/** A service and its share of a route's requests. */
export interface WeightedService {
  service: string;
  /** Relative to the weights of the route's other services. */
  weight: number;
}
