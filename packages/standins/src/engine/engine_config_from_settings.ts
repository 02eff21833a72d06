import type {SettingsOf} from '@wisterialadder/runtime/settings/settings_definition.js';
import type {EngineConfig} from './engine_config.js';
import type {ENGINE_SETTINGS} from './engine_settings.js';

/** Converts the settings of `wl-engine` to an engine configuration. */
export function engineConfigFromSettings(
  {engine, memory, cost, report}: SettingsOf<typeof ENGINE_SETTINGS>,
  incarnation: string,
): EngineConfig {
  return {
    incarnation,
    kvCapacityTokens: memory.kv_tokens,
    timeScale: engine.time_scale,
    cost: {
      linearMsPerToken: cost.prefill_linear_ms,
      quadraticMs: cost.prefill_quadratic_ms,
      decodeBaseMs: cost.decode_base_ms,
      decodeStreamMs: cost.decode_stream_ms,
    },
    chunkTokens: cost.chunk_tokens,
    maxBatch: engine.max_batch,
    maxQueued: engine.max_queued,
    usePriorities: engine.use_priorities === 'yes',
    maxStreamMs: engine.max_stream_ms,
    reportIntervalMs: report.interval_ms,
    reportLagMs: report.lag_ms,
    cacheEventDelayMs: memory.cache_event_delay_ms,
    cacheEventLoss: memory.cache_event_loss,
    checksFencing: engine.checks_fencing === 'yes',
    models: engine.models,
    role: engine.role,
    modelLoadMs: engine.model_load_ms,
  };
}
