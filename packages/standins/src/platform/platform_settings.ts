import {
  address,
  integer,
  decimal,
  list,
} from '@wisterialadder/runtime/settings/setting_kinds.js';

const MAX_MS = 7 * 24 * 3_600_000;
const MAX_RATE = 1_000_000;

/** Settings of `wl-platform`. */
export const PLATFORM_SETTINGS = {
  http: {
    listen: address({help: 'Address of the platform.'}),
  },
  platform: {
    seed: integer(0, 2 ** 31, {help: 'Seed of random faults.', fallback: '1'}),
  },
  log: {
    appends_per_second: decimal(0.001, MAX_RATE, {
      help: 'Append rate over all streams; more get 429.',
      fallback: '300',
    }),
    append_burst: integer(1, MAX_RATE, {
      help: 'Appends that may come at once.',
      fallback: '100',
    }),
    retention_records: integer(1, 100_000_000, {
      help: 'Records that each stream keeps.',
      fallback: '100000',
    }),
    retention_ms: integer(1, MAX_MS, {
      help: 'Age at which a record is dropped.',
      fallback: '86400000',
      unit: 'ms',
    }),
    max_record_bytes: integer(1, 64 * 1_024 * 1_024, {
      help: 'Largest record.',
      fallback: '1048576',
      unit: 'bytes',
    }),
  },
  vms: {
    lag_ms: integer(0, MAX_MS, {
      help: 'Time until a change of the VM list can be read.',
      fallback: '5000',
      unit: 'ms',
    }),
    list: list({
      help: 'VMs at the start, each ADDRESS/FAILURE_DOMAIN.',
      fallback: '',
    }),
  },
  weights: {
    loads_per_second: decimal(0.001, MAX_RATE, {
      help: 'Rate of the weight store; more get 429.',
      fallback: '1',
    }),
    load_burst: integer(1, MAX_RATE, {
      help: 'Loads that may come at once.',
      fallback: '4',
    }),
    load_ms: integer(0, MAX_MS, {
      help: 'Time to deliver the weights of a model.',
      fallback: '500',
      unit: 'ms',
    }),
  },
};
