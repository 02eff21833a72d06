/** Average demand of each model, in replicas. */
export interface DemandAverage {
  sample(nowMs: number, model: string, replicas: number): void;
  of(model: string): number;
}

interface Average {
  value: number;
  sampledMs: number;
}

/** Creates exponentially weighted averages; the first sample counts fully. */
export function createDemandAverage(windowMs: number): DemandAverage {
  const averages = new Map<string, Average>();

  function sample(nowMs: number, model: string, replicas: number): void {
    const old = averages.get(model);
    const weight = old ? 1 - Math.exp((old.sampledMs - nowMs) / windowMs) : 1;
    const before = old?.value ?? 0;
    const value = before + (replicas - before) * weight;
    averages.set(model, {value, sampledMs: nowMs});
  }

  return {sample, of: model => averages.get(model)?.value ?? 0};
}
