import type {VmEntry} from '@wisterialadder/core/types/vm_entry.js';
import type {SettingsOf} from '@wisterialadder/runtime/settings/settings_definition.js';
import type {PlatformConfig} from './platform_config.js';
import type {PLATFORM_SETTINGS} from './platform_settings.js';

/** Properties of the platform from its settings. */
export function platformConfigOf({
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
    vms: vms.list.map(vmEntry),
    weightsPerSecond: weights.loads_per_second,
    weightsBurst: weights.load_burst,
    weightsMs: weights.load_ms,
  };
}

function vmEntry(word: string): VmEntry {
  const [address = '', failureDomain = ''] = word.split('/');
  return {address, failureDomain, state: 'live'};
}
