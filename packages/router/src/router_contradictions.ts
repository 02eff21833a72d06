import type {SettingsFault} from '@wisterialadder/runtime/settings/settings_fault.js';
import type {SettingsOf} from '@wisterialadder/runtime/settings/settings_definition.js';
import type {ROUTER_SETTINGS} from './settings.js';

/**
 * Finds keys that outlive the log: a claim must still be on the log while its
 * key is accepted, otherwise the key could run a second time.
 */
export function routerContradictions(
  cfg: Pick<SettingsOf<typeof ROUTER_SETTINGS>, 'claims' | 'platform'>,
): SettingsFault[] {
  const {key_max_age: maxAgeMs, clock_tolerance: toleranceMs} = cfg.claims;
  const limitMs = cfg.platform.log_retention - 2 * toleranceMs;
  if (maxAgeMs < limitMs) return [];
  return [
    {
      section: 'claims',
      key: 'key_max_age',
      problem: `${maxAgeMs} ms is too long for the log's retention`,
      allowed: `less than ${limitMs} (log_retention - 2 * clock_tolerance)`,
    },
  ];
}
