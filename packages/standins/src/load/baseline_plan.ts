import type {LoadConfig} from './load_config.js';

/** Prompt lengths between which the baseline is interpolated. */
const BASELINE_TOKENS = [250, 1_000, 2_000, 4_000, 8_000, 16_000, 32_000];

/** Lengths of the baseline requests, in the order of sending. */
export function baselinePlan(cfg: LoadConfig): number[] {
  const lengths = BASELINE_TOKENS.filter(tokens => tokens < cfg.shortTokens);
  lengths.push(cfg.shortTokens);
  return lengths.flatMap(tokens =>
    Array.from({length: cfg.baselineRequests}, () => tokens),
  );
}
