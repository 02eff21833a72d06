/**
 * Asks a peer to renew a reservation on an engine that wants no orders from
 * the sender for a while.
 */
export interface MemoryRenewal {
  kind: 'memory_renewal';
  ticket: string;
  endpoint: string;
  tokens: number;
}
