/** Result of probing one router. */
export interface RouterStatus {
  /** Operations address. */
  address: string;
  reachable: boolean;
  ready: boolean;
  /** Why it is not ready. */
  reason: string;
  /** Table offset up to which it has read; -1 if unknown. */
  offset: number;
}
