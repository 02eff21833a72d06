/** Share of the best rate that each observation keeps, to follow slowdowns. */
const KEEP = 0.98;

/**
 * Best prefill rates observed lately, by service and decade of prompt length.
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
    rates.set(key, Math.max((rates.get(key) ?? 0) * KEEP, rate));
  }

  return {
    observe,
    rate: (service, promptTokens) => rates.get(keyOf(service, promptTokens)),
  };
}

function keyOf(service: string, promptTokens: number): string {
  return `${service}/${Math.floor(Math.log10(Math.max(1, promptTokens)))}`;
}
