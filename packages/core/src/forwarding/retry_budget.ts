/** Bounds how often work is sent a second time, over all gateways. */
export interface RetryBudget {
  /** Notes a caller's request for a service. */
  recordRequest(nowMs: number, service: string): void;
  /**
   * Takes one repeat; false if the share of this gateway is used up.
   * @param gateways gateways that may share the budget
   */
  tryTake(nowMs: number, service: string, gateways: number): boolean;
  /** Repeats that are left to this gateway. */
  remaining(nowMs: number, service: string, gateways: number): number;
}

/** How many repeats a service may get in any window. */
export interface RetryBudgetConfig {
  /** Repeats for each request of the window. */
  ratio: number;
  /** Repeats beyond that, over all gateways. */
  extra: number;
  windowMs: number;
}

/** Part of the budget that is used, since gateways count separately. */
const USED_SHARE = 0.8;

/**
 * Part of its share that a process uses in its first window: the one that ran
 * here before may have used its own just then.
 */
const FIRST_WINDOW_SHARE = 0.25;

interface Counts {
  requests: number[];
  repeats: number[];
}

/**
 * Creates an budget of which nothing is used.
 * @param current returns the settings in force
 */
export function createRetryBudget(
  current: () => RetryBudgetConfig,
): RetryBudget {
  const services = new Map<string, Counts>();
  let startedMs: number | undefined;

  function of(nowMs: number, service: string): Counts {
    let counts = services.get(service);
    if (!counts) {
      counts = {requests: [], repeats: []};
      services.set(service, counts);
    }
    const {windowMs} = current();
    dropBefore(counts.requests, nowMs - windowMs);
    dropBefore(counts.repeats, nowMs - windowMs);
    return counts;
  }

  function remaining(nowMs: number, service: string, gateways: number): number {
    const {requests, repeats} = of(nowMs, service);
    const {ratio, extra, windowMs} = current();
    startedMs ??= nowMs;
    const first = nowMs - startedMs < windowMs;
    const share = (extra / gateways) * (first ? FIRST_WINDOW_SHARE : 1);
    const own = requests.length * ratio + share;
    return own * USED_SHARE - repeats.length;
  }

  return {
    recordRequest: (nowMs, service) => {
      of(nowMs, service).requests.push(nowMs);
    },
    tryTake: (nowMs, service, gateways) => {
      if (remaining(nowMs, service, gateways) < 1) return false;
      of(nowMs, service).repeats.push(nowMs);
      return true;
    },
    remaining,
  };
}

function dropBefore(times: number[], limitMs: number): void {
  const first = times.findIndex(time => time >= limitMs);
  times.splice(0, first < 0 ? times.length : first);
}
