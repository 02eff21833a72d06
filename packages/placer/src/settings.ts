import {
  OPS_SECTION,
  VM_SECTION,
} from '@wisterialadder/runtime/settings/common_sections.js';
import {integer, url} from '@wisterialadder/runtime/settings/setting_kinds.js';

const MAX_MS = 3_600_000;

/** Settings of `wl-placer`. */
export const PLACER_SETTINGS = {
  vm: VM_SECTION,
  ops: OPS_SECTION,
  platform: {
    url: url({help: 'Address of the platform: log and weight store.'}),
  },
  lease: {
    duration: integer(500, 600_000, {
      help: 'How long a lease lasts without renewal.',
      unit: 'ms',
      fallback: '10000',
    }),
  },
  placement: {
    streams_per_replica: integer(1, 100_000, {
      help: 'Decode streams that one engine serves well.',
      unit: 'streams',
      fallback: '32',
    }),
    queued_tokens_per_replica: integer(1, 100_000_000, {
      help: 'Queued prefill tokens that one engine serves well.',
      unit: 'tokens',
      fallback: '50000',
    }),
    demand_window: integer(100, MAX_MS, {
      help: 'Time constant of the demand average.',
      unit: 'ms',
      fallback: '60000',
    }),
    shrink_after: integer(100, MAX_MS, {
      help: 'Time of low demand before an engine gives a model up.',
      unit: 'ms',
      fallback: '300000',
    }),
    load_interval: integer(1_000, MAX_MS, {
      help: 'Mean time between two loads; above that of the weight store.',
      unit: 'ms',
      fallback: '2000',
    }),
    start_jitter: integer(0, MAX_MS, {
      help: 'Longest random wait of a new lease holder before it decides.',
      unit: 'ms',
      fallback: '5000',
    }),
  },
  timeouts: {
    load_report_interval: integer(50, 60_000, {
      help: 'Time between reads of an endpoint load report.',
      unit: 'ms',
      fallback: '1000',
    }),
  },
};
