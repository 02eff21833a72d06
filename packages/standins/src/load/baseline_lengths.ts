import type {LoadConfig} from './load_config.js';

/** Prompt lengths whose baseline is measured; others are interpolated. */
const BASELINE_TOKENS = [250, 1_000, 2_000, 4_000, 8_000, 16_000, 32_000];

/** Prompt lengths of the baseline requests, in sending order. */
export function baselineLengths(cfg: LoadConfig): number[] {
  const lengths = BASELINE_TOKENS.filter(tokens => tokens < cfg.shortTokens);
  lengths.push(cfg.shortTokens);
  return lengths.flatMap(tokens =>
    Array.from({length: cfg.baselineRequests}, () => tokens),
  );
}
