/** Engine costs in simulated milliseconds, as set on every engine. */
export const COST = {
  prefill_linear_ms: 0.05,
  prefill_quadratic_ms: 0.0000001,
  decode_base_ms: 12,
  decode_stream_ms: 0.3,
};
const KV_TOKENS = 400_000;
/** Assumed mean number of streams that share one decode step. */
const DECODE_BATCH = 2;
/** Prompt lengths per class over which the work is averaged. */
const LENGTH_SAMPLES = 1_000;

/**
 * Requests/s at which the mean work of the mix equals the time of all engines.
 * A prompt larger than one engine's memory is spread over several engines and
 * takes half of the memory of each.
 */
export function capacityOf(mix, engines, timeScale) {
  const shares = mix.classes.reduce((sum, {share}) => sum + share, 0);
  const meanMs = mix.classes.reduce(
    (sum, cls) => sum + (cls.share / shares) * workMs(cls),
    0,
  );
  return (engines * 1_000 * timeScale) / meanMs;
}

function workMs({kind, length, maxTokens}) {
  if (kind !== 'chat') return 0;
  const {decode_base_ms: base, decode_stream_ms: perStream} = COST;
  const decodeMs = 0.75 * maxTokens * (base / DECODE_BATCH + perStream);
  let prefillMs = 0;
  for (let i = 0; i < LENGTH_SAMPLES; i++) {
    const tokens =
      length.min * (length.max / length.min) ** ((i + 0.5) / LENGTH_SAMPLES);
    const engines =
      tokens > KV_TOKENS ? Math.ceil(tokens / (KV_TOKENS / 2)) : 1;
    prefillMs +=
      (COST.prefill_linear_ms * tokens +
        COST.prefill_quadratic_ms * tokens ** 2) /
      engines;
  }
  return prefillMs / LENGTH_SAMPLES + decodeMs;
}

/** Ratio of the mean rate of a run to the rate outside of bursts. */
export function burstFactor({burst}, durationMs) {
  if (!burst) return 1;
  const fullBurstsMs = Math.floor(durationMs / burst.periodMs) * burst.lengthMs;
  const lastBurstMs = Math.min(durationMs % burst.periodMs, burst.lengthMs);
  return 1 + ((burst.factor - 1) * (fullBurstsMs + lastBurstMs)) / durationMs;
}
