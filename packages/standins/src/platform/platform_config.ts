import type {VmEntry} from '@wisterialadder/core/types/vm_entry.js';

/** Configuration of the simulated platform. */
export interface PlatformConfig {
  /** Rate limit of appends over all streams. */
  appendsPerSecond: number;
  appendBurst: number;
  /** Maximum number of records retained per stream. */
  retentionRecords: number;
  retentionMs: number;
  maxRecordBytes: number;
  /** Delay until a change of the VM list becomes visible. */
  vmLagMs: number;
  vms: VmEntry[];
  /** Rate limit of the weight store. */
  weightsPerSecond: number;
  weightsBurst: number;
  /** Time to deliver the weights of a model. */
  weightsMs: number;
}
