/** Head of a caller's request as it arrived. */
export interface CallerHead {
  method: string;
  /** Path and query. */
  target: string;
  /** By lower-case name. */
  headers: NodeJS.Dict<string | string[]>;
  /** Names and values in turn, in the order and spelling of the caller. */
  rawHeaders: string[];
}
