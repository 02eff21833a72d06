/** Reservations that were requested and may still be answered. */
export interface PendingReservations {
  /** Remembers the address until the engine has dropped the reservation. */
  add(round: number, endpoint: string, url: string, untilMs: number): void;
  /** Address of a pending reservation, which is then removed. */
  take(round: number, endpoint: string): string | undefined;
  expire(nowMs: number): void;
}

/** Creates an empty set; the address outlives the endpoint's table row. */
export function createPendingReservations(): PendingReservations {
  const open = new Map<string, {url: string; untilMs: number}>();

  return {
    add: (round, endpoint, url, untilMs) => {
      open.set(`${round}|${endpoint}`, {url, untilMs});
    },
    take: (round, endpoint) => {
      const key = `${round}|${endpoint}`;
      const url = open.get(key)?.url;
      open.delete(key);
      return url;
    },
    expire: nowMs => {
      for (const [key, pending] of open) {
        if (nowMs >= pending.untilMs) open.delete(key);
      }
    },
  };
}
