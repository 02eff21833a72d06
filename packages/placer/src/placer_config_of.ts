import type {PlacerConfig} from '@wisterialadder/core/placement/placer_config.js';
import type {SettingsOf} from '@wisterialadder/runtime/settings/settings_definition.js';
import type {PLACER_SETTINGS} from './settings.js';

/** Converts settings to the configuration of the placer node. */
export function placerConfigOf(
  cfg: SettingsOf<typeof PLACER_SETTINGS>,
  holder: string,
): PlacerConfig {
  const {placement} = cfg;
  return {
    lease: {holder, durationMs: cfg.lease.duration},
    placement: {
      streamsPerReplica: placement.streams_per_replica,
      queuedTokensPerReplica: placement.queued_tokens_per_replica,
      demandWindowMs: placement.demand_window,
      shrinkAfterMs: placement.shrink_after,
      loadIntervalMs: placement.load_interval,
      startJitterMs: placement.start_jitter,
    },
  };
}
