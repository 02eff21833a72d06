/** A relay that confirms nothing for this long counts as failed. */
const CONFIRM_TIMEOUT_MS = 300;
/** A failed relay is not used for this long. */
const BYPASS_MS = 2_000;

/** Tracks whether the relay passes on the messages sent to it. */
export interface RelayHealth {
  isHealthy(nowMs: number): boolean;
  /** Marks a relay that confirms nothing as failed; true if it does so now. */
  expire(nowMs: number): boolean;
  /** Records a message to the relay. */
  sent(nowMs: number): void;
  /** Records that the relay has passed on a message. */
  confirmed(): void;
  /** Whether the relay has not passed on a message yet. */
  awaitsConfirmation(): boolean;
}

/** Creates the health of a relay that has not failed. */
export function createRelayHealth(): RelayHealth {
  let unconfirmedSinceMs: number | undefined;
  let bypassedUntilMs = Number.NEGATIVE_INFINITY;

  return {
    isHealthy: nowMs => nowMs >= bypassedUntilMs,
    expire: nowMs => {
      if (nowMs - (unconfirmedSinceMs ?? nowMs) < CONFIRM_TIMEOUT_MS)
        return false;
      bypassedUntilMs = nowMs + BYPASS_MS;
      unconfirmedSinceMs = undefined;
      return true;
    },
    sent: nowMs => {
      unconfirmedSinceMs ??= nowMs;
    },
    confirmed: () => {
      unconfirmedSinceMs = undefined;
    },
    awaitsConfirmation: () => unconfirmedSinceMs !== undefined,
  };
}
