/** A trial without a result ends after this long. */
const TRIAL_MS = 1_500;
/** Peers may name any number of parts; the oldest trials are dropped. */
const MAX_TRIALS = 8_192;

/** Prompts with suspected parts that are on engines, one for each part. */
export interface PartTrials {
  /** Records a trial of this gateway or of a peer. */
  begin(
    nowMs: number,
    holder: string,
    endpoint: string,
    parts: readonly string[],
  ): void;
  /** Whether a part is on trial by another holder. */
  isBlocked(nowMs: number, holder: string, parts: readonly string[]): boolean;
  /** Parts that a holder has on trial. */
  heldBy(holder: string): string[];
  /** Ends the trials of parts that were proven or ended an engine. */
  settle(parts: readonly string[]): void;
  /** Ends the trials of a holder without a result; returns their parts. */
  end(holder: string): string[];
  /** Engines that may end soon. */
  endpoints(nowMs: number): Set<string>;
}

interface Trial {
  holder: string;
  /** Empty before the prompt is sent. */
  endpoint: string;
  untilMs: number;
}

/** Creates trials of which none is running. */
export function createPartTrials(): PartTrials {
  const trials = new Map<string, Trial>();

  function begin(
    nowMs: number,
    holder: string,
    endpoint: string,
    parts: readonly string[],
  ): void {
    const untilMs = nowMs + TRIAL_MS;
    for (const part of parts) {
      trials.delete(part);
      trials.set(part, {holder, endpoint, untilMs});
    }
    for (const [part, trial] of trials) {
      if (trial.untilMs <= nowMs || trials.size > MAX_TRIALS) {
        trials.delete(part);
      }
    }
  }

  function heldBy(holder: string): string[] {
    return [...trials]
      .filter(([, trial]) => trial.holder === holder)
      .map(([part]) => part);
  }

  function end(holder: string): string[] {
    const ended = heldBy(holder);
    for (const part of ended) trials.delete(part);
    return ended;
  }

  return {
    begin,
    heldBy,
    end,
    isBlocked: (nowMs, holder, parts) =>
      parts.some(part => {
        const trial = trials.get(part);
        return trial && trial.holder !== holder && trial.untilMs > nowMs;
      }),
    settle: parts => {
      for (const part of parts) trials.delete(part);
    },
    endpoints: nowMs => {
      const running = [...trials.values()].filter(
        ({untilMs, endpoint}) => untilMs > nowMs && endpoint !== '',
      );
      return new Set(running.map(({endpoint}) => endpoint));
    },
  };
}
