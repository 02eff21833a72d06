/** Head of an answer with which the gateway refuses a request. */
export interface RefusalHead {
  status: number;
  headers: Record<string, string>;
}
