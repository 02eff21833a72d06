/** Limits the retries of requests, over all gateways. */
export interface RetryBudget {
  /** Counts a caller's request for a service. */
  recordRequest(nowMs: number, service: string): void;
  /**
   * Takes one retry; false if the share of this gateway is used up.
   * @param gateways number of gateways that may share the budget
   */
  tryTake(nowMs: number, service: string, gateways: number): boolean;
  /** Retries that this gateway has left. */
  remaining(nowMs: number, service: string, gateways: number): number;
}

/** Number of retries that a service may get in any window. */
export interface RetryBudgetConfig {
  /** Retries per request of the window. */
  ratio: number;
  /** Retries beyond that, over all gateways. */
  extra: number;
  windowMs: number;
}

/** Share of the budget that is used, since gateways count separately. */
const USED_SHARE = 0.8;

/**
 * Fraction of its share that a process uses in its first window: the previous
 * process of this gateway may just have used its own.
 */
const FIRST_WINDOW_SHARE = 0.25;

interface Counts {
  requests: number[];
  retries: number[];
}

/**
 * Creates an unused budget.
 * @param current returns the settings in force
 */
export function createRetryBudget(
  current: () => RetryBudgetConfig,
): RetryBudget {
  const services = new Map<string, Counts>();
  let startedMs: number | undefined;

  function countsOf(nowMs: number, service: string): Counts {
    let counts = services.get(service);
    if (!counts) {
      counts = {requests: [], retries: []};
      services.set(service, counts);
    }
    const {windowMs} = current();
    dropBefore(counts.requests, nowMs - windowMs);
    dropBefore(counts.retries, nowMs - windowMs);
    return counts;
  }

  function remaining(nowMs: number, service: string, gateways: number): number {
    const {requests, retries} = countsOf(nowMs, service);
    const {ratio, extra, windowMs} = current();
    startedMs ??= nowMs;
    const first = nowMs - startedMs < windowMs;
    const share = (extra / gateways) * (first ? FIRST_WINDOW_SHARE : 1);
    const own = requests.length * ratio + share;
    return own * USED_SHARE - retries.length;
  }

  return {
    recordRequest: (nowMs, service) => {
      countsOf(nowMs, service).requests.push(nowMs);
    },
    tryTake: (nowMs, service, gateways) => {
      if (remaining(nowMs, service, gateways) < 1) return false;
      countsOf(nowMs, service).retries.push(nowMs);
      return true;
    },
    remaining,
  };
}

function dropBefore(times: number[], limitMs: number): void {
  const first = times.findIndex(time => time >= limitMs);
  times.splice(0, first < 0 ? times.length : first);
}
