/** A customer and the keys that identify it. */
export interface CustomerAccess {
  name: string;
  keys: string[];
  /** Replaces the route's priority; undefined if the customer has none. */
  priority: number | undefined;
}
