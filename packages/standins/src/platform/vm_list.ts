import type {VmEntry} from '@wisterialadder/core/types/vm_entry.js';
import type {PlatformConfig} from './platform_config.js';

/** VM list whose changes become visible after a delay. */
export interface VmList {
  replace(nowMs: number, vms: VmEntry[]): void;
  read(nowMs: number): VmEntry[];
}

interface VmListVersion {
  visibleMs: number;
  vms: VmEntry[];
}

/** Creates the list with the VMs of the configuration. */
export function createVmList(cfg: PlatformConfig): VmList {
  let versions: VmListVersion[] = [{visibleMs: -Infinity, vms: cfg.vms}];

  return {
    replace: (nowMs, vms) => {
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
