import type {VmEntry} from '@wisterialadder/core/types/vm_entry.js';
import type {PlatformConfig} from './platform_config.js';

/** The VM list, which readers see some time after it changes. */
export interface VmList {
  change(nowMs: number, vms: VmEntry[]): void;
  read(nowMs: number): VmEntry[];
}

interface ListVersion {
  visibleMs: number;
  vms: VmEntry[];
}

/** Creates the list of the settings. */
export function createVmList(cfg: PlatformConfig): VmList {
  let versions: ListVersion[] = [{visibleMs: -Infinity, vms: cfg.vms}];

  return {
    change: (nowMs, vms) => {
      versions.push({visibleMs: nowMs + cfg.vmLagMs, vms});
    },
    read: nowMs => {
      const newest = versions.findLastIndex(
        ({visibleMs}) => visibleMs <= nowMs,
      );
      versions = versions.slice(Math.max(0, newest));
      return versions[0]?.vms ?? [];
    },
  };
}
