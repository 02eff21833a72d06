/** Reserves KV memory; answered by `reservation_settled`. */
export interface Reserve {
  kind: 'reserve';
  reqId: string;
  attempt: number;
  endpoint: string;
  url: string;
  tokens: number;
  /** The engine drops the reservation after this time. */
  ttlMs: number;
}
