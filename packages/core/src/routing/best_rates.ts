/** Factor on the best rate at each observation, to follow slowdowns. */
const DECAY = 0.98;

/**
 * Best recent prefill rates, by service and decade of prompt length.
 * Short prompts, whose time is mostly overhead, say little about long ones,
 * and a prompt over several engines is prefilled by all of them.
 */
export interface BestRates {
  observe(service: string, promptTokens: number, rate: number): void;
  /** Work per millisecond; undefined if nothing of the length was observed. */
  rate(service: string, promptTokens: number): number | undefined;
}

/** Creates rates without observations. */
export function createBestRates(): BestRates {
  const rates = new Map<string, number>();

  function observe(service: string, promptTokens: number, rate: number): void {
    const key = keyOf(service, promptTokens);
    rates.set(key, Math.max((rates.get(key) ?? 0) * DECAY, rate));
  }

  return {
    observe,
    rate: (service, promptTokens) => rates.get(keyOf(service, promptTokens)),
  };
}

function keyOf(service: string, promptTokens: number): string {
  return `${service}/${Math.floor(Math.log10(Math.max(1, promptTokens)))}`;
}
