/** What one router answered. */
export interface RouterStatus {
  /** Operations address. */
  address: string;
  reachable: boolean;
  ready: boolean;
  /** Why it is not ready. */
  reason: string;
  /** Table offset that it has reached; -1 if unknown. */
  offset: number;
}
