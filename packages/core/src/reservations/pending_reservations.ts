/** Reservations that were requested and may still be answered. */
export interface PendingReservations {
  /** Keeps the address until the engine has dropped the reservation. */
  add(round: number, endpoint: string, url: string, untilMs: number): void;
  /** Removes a pending reservation and returns its address. */
  take(round: number, endpoint: string): string | undefined;
  expire(nowMs: number): void;
}

/** Creates an empty set; the address outlives the endpoint's table row. */
export function createPendingReservations(): PendingReservations {
  const pendingByKey = new Map<string, {url: string; untilMs: number}>();

  return {
    add: (round, endpoint, url, untilMs) => {
      pendingByKey.set(`${round}|${endpoint}`, {url, untilMs});
    },
    take: (round, endpoint) => {
      const key = `${round}|${endpoint}`;
      const url = pendingByKey.get(key)?.url;
      pendingByKey.delete(key);
      return url;
    },
    expire: nowMs => {
      for (const [key, pending] of pendingByKey) {
        if (nowMs >= pending.untilMs) pendingByKey.delete(key);
      }
    },
  };
}
