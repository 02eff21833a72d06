/** Head of a caller's request as it arrived. */
export interface CallerHead {
  method: string;
  /** Path and query. */
  target: string;
  /** By lower-case name. */
  headers: NodeJS.Dict<string | string[]>;
  /** Alternating names and values, in the order and case of the caller. */
  rawHeaders: string[];
}
