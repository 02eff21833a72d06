/** A relay that passes nothing on for so long is not used for a while. */
const UNCONFIRMED_MS = 300;
const DISTRUST_MS = 2_000;

/** Whether the relay passes on what it is sent. */
export interface RelayHealth {
  isHealthy(nowMs: number): boolean;
  /** Whether the trust is lost at this moment. */
  expire(nowMs: number): boolean;
  /** A change was sent to the relay. */
  sent(nowMs: number): void;
  /** The relay has passed changes on. */
  confirmed(): void;
}

/** Creates the trust in a relay that has not failed yet. */
export function createRelayHealth(): RelayHealth {
  let unconfirmedMs: number | undefined;
  let distrustedUntilMs = Number.NEGATIVE_INFINITY;

  return {
    isHealthy: nowMs => nowMs >= distrustedUntilMs,
    expire: nowMs => {
      if (nowMs - (unconfirmedMs ?? nowMs) < UNCONFIRMED_MS) return false;
      distrustedUntilMs = nowMs + DISTRUST_MS;
      unconfirmedMs = undefined;
      return true;
    },
    sent: nowMs => {
      unconfirmedMs ??= nowMs;
    },
    confirmed: () => {
      unconfirmedMs = undefined;
    },
  };
}
