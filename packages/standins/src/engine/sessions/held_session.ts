import type {KvHolding} from '../memory/kv_holding.js';

/** A reservation or an export. */
export interface HeldSession {
  id: string;
  kind: 'reservation' | 'export';
  owner: string;
  reqId: string;
  tokens: number;
  holding: KvHolding;
  createdMs: number;
  ttlMs: number;
  expiresMs: number;
}
