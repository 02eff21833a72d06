import type {VmEntry} from '@wisterialadder/core/types/vm_entry.js';
import type {SettingsOf} from '@wisterialadder/runtime/settings/settings_definition.js';
import type {PlatformConfig} from './platform_config.js';
import type {PLATFORM_SETTINGS} from './platform_settings.js';

/** Converts the settings of `wl-platform` to a configuration. */
export function platformConfigFromSettings({
  log,
  vms,
  weights,
}: SettingsOf<typeof PLATFORM_SETTINGS>): PlatformConfig {
  return {
    appendsPerSecond: log.appends_per_second,
    appendBurst: log.append_burst,
    retentionRecords: log.retention_records,
    retentionMs: log.retention_ms,
    maxRecordBytes: log.max_record_bytes,
    vmLagMs: vms.lag_ms,
    vms: vms.list.map(parseVmEntry),
    weightsPerSecond: weights.loads_per_second,
    weightsBurst: weights.load_burst,
    weightsMs: weights.load_ms,
  };
}

/** Parses `ADDRESS/FAILURE_DOMAIN`. */
function parseVmEntry(text: string): VmEntry {
  const [address = '', failureDomain = ''] = text.split('/');
  return {address, failureDomain, state: 'live'};
}
