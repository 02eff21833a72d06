/** Average demand of each model, in replicas. */
export interface DemandAverage {
  sample(nowMs: number, model: string, replicas: number): void;
  of(model: string): number;
}

interface Average {
  value: number;
  sampledMs: number;
}

/** Creates exponentially weighted averages that start at the first sample. */
export function createDemandAverage(windowMs: number): DemandAverage {
  const averages = new Map<string, Average>();

  function sample(nowMs: number, model: string, replicas: number): void {
    const previous = averages.get(model);
    const weight = previous
      ? 1 - Math.exp((previous.sampledMs - nowMs) / windowMs)
      : 1;
    const before = previous?.value ?? 0;
    const value = before + (replicas - before) * weight;
    averages.set(model, {value, sampledMs: nowMs});
  }

  return {sample, of: model => averages.get(model)?.value ?? 0};
}
