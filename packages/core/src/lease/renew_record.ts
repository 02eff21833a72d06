/** Extends the lease that was acquired at offset `token`. */
export interface RenewRecord {
  type: 'renew';
  id: string;
  holder: string;
  base: number;
  durationMs: number;
  token: number;
}
