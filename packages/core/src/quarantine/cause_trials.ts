/** A trial without a result ends after this long. */
const TRIAL_MS = 1_500;
/** Peers may name any number of causes; the oldest trials are dropped. */
const MAX_TRIALS = 8_192;

/** Requests with suspected causes that are on engines, one for each cause. */
export interface CauseTrials {
  /** Records a trial of this gateway or of a peer. */
  begin(
    nowMs: number,
    holder: string,
    endpoint: string,
    causes: readonly string[],
  ): void;
  /** Whether a cause is on trial by another holder. */
  isBlocked(nowMs: number, holder: string, causes: readonly string[]): boolean;
  /** Causes that a holder has on trial. */
  heldBy(holder: string): string[];
  /** Ends the trials of causes that were proven or ended an engine. */
  settle(causes: readonly string[]): void;
  /** Ends the trials of a holder without a result; returns their causes. */
  end(holder: string): string[];
  /** Engines that may end soon. */
  endpoints(nowMs: number): Set<string>;
}

interface Trial {
  holder: string;
  /** Empty before the request is sent. */
  endpoint: string;
  untilMs: number;
}

/** Creates trials of which none is running. */
export function createCauseTrials(): CauseTrials {
  const trials = new Map<string, Trial>();

  function begin(
    nowMs: number,
    holder: string,
    endpoint: string,
    causes: readonly string[],
  ): void {
    const untilMs = nowMs + TRIAL_MS;
    for (const cause of causes) {
      trials.delete(cause);
      trials.set(cause, {holder, endpoint, untilMs});
    }
    for (const [cause, trial] of trials) {
      if (trial.untilMs <= nowMs || trials.size > MAX_TRIALS) {
        trials.delete(cause);
      }
    }
  }

  function heldBy(holder: string): string[] {
    return [...trials]
      .filter(([, trial]) => trial.holder === holder)
      .map(([cause]) => cause);
  }

  function end(holder: string): string[] {
    const ended = heldBy(holder);
    for (const cause of ended) trials.delete(cause);
    return ended;
  }

  return {
    begin,
    heldBy,
    end,
    isBlocked: (nowMs, holder, causes) =>
      causes.some(cause => {
        const trial = trials.get(cause);
        return trial && trial.holder !== holder && trial.untilMs > nowMs;
      }),
    settle: causes => {
      for (const cause of causes) trials.delete(cause);
    },
    endpoints: nowMs => {
      const running = [...trials.values()].filter(
        ({untilMs, endpoint}) => untilMs > nowMs && endpoint !== '',
      );
      return new Set(running.map(({endpoint}) => endpoint));
    },
  };
}
