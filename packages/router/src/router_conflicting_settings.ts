import type {SettingsFault} from '@wisterialadder/runtime/settings/settings_fault.js';
import type {SettingsOf} from '@wisterialadder/runtime/settings/settings_definition.js';
import type {ROUTER_SETTINGS} from './settings.js';

/**
 * Reports a maximum key age that the log's retention does not cover: a claim
 * must still be in the log while its key is accepted, otherwise the work of
 * the key could run twice.
 */
export function findConflictingSettings(
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
