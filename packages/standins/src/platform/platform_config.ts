import type {VmEntry} from '@wisterialadder/core/types/vm_entry.js';

/** Properties of the platform. */
export interface PlatformConfig {
  /** Records a second over all streams. */
  appendsPerSecond: number;
  appendBurst: number;
  /** Records that each stream keeps. */
  retentionRecords: number;
  retentionMs: number;
  maxRecordBytes: number;
  /** Time until a change of the VM list can be read. */
  vmLagMs: number;
  vms: VmEntry[];
  weightsPerSecond: number;
  weightsBurst: number;
  /** Time to deliver a model's weights. */
  weightsMs: number;
}
