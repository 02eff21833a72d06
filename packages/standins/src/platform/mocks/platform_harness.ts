import {createStepHarness} from '@wisterialadder/core/mocks/step_harness.js';
import type {PlatformAction} from '../platform_action.js';
import type {PlatformConfig} from '../platform_config.js';
import type {PlatformEvent} from '../platform_event.js';
import type {PlatformFaults} from '../platform_faults.js';
import {createPlatformNode} from '../platform_node.js';

/** A platform on a virtual clock. */
export interface PlatformHarness {
  step(event: PlatformEvent, advanceMs?: number): PlatformAction[];
  append(data: string): PlatformAction[];
  read(from: number, waitMs?: number): PlatformAction[];
  faults(faults: Partial<PlatformFaults>): void;
}

/** Creates the harness; its log retains 3 records for up to 10 s. */
export function createPlatformHarness(
  overrides: Partial<PlatformConfig> = {},
): PlatformHarness {
  const harness = createStepHarness(
    createPlatformNode({
      appendsPerSecond: 10,
      appendBurst: 5,
      retentionRecords: 3,
      retentionMs: 10_000,
      maxRecordBytes: 1_000,
      vmLagMs: 500,
      vms: [],
      weightsPerSecond: 1,
      weightsBurst: 1,
      weightsMs: 100,
      ...overrides,
    }),
  );
  const stream = 'table';
  return {
    step: harness.step,
    append: data =>
      harness.step({kind: 'append_asked', callId: 'a', stream, data}),
    read: (from, waitMs = 0) =>
      harness.step({kind: 'read_asked', callId: 'r', stream, from, waitMs}),
    faults: faults =>
      void harness.step({kind: 'control_received', callId: 'f', faults}),
  };
}
