import type {KvAllocation} from '../memory/kv_allocation.js';

/** A reservation or an export: a session without a stream. */
export interface HeldSession {
  id: string;
  kind: 'reservation' | 'export';
  owner: string;
  reqId: string;
  tokens: number;
  allocation: KvAllocation;
  createdMs: number;
  ttlMs: number;
  expiresMs: number;
}
