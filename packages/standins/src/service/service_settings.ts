import {
  address,
  integer,
} from '@wisterialadder/runtime/settings/setting_kinds.js';

/** Settings of `wl-service`. */
export const SERVICE_SETTINGS = {
  http: {
    listen: address({help: 'Address of the service.'}),
  },
  service: {
    seed: integer(0, 2 ** 31, {help: 'Seed of random faults.', fallback: '1'}),
    latency_ms: integer(0, 3_600_000, {
      help: 'Time from a call to its answer.',
      fallback: '50',
      unit: 'ms',
    }),
    max_calls: integer(1, 1_000_000, {
      help: 'Calls in progress; more are refused as not run.',
      fallback: '1000',
    }),
  },
};
