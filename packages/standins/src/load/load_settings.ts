import {
  choice,
  integer,
  list,
  text,
} from '@wisterialadder/runtime/settings/setting_kinds.js';

const MAX_MS = 24 * 3_600_000;

/** Settings of `wl-load`. */
export const LOAD_SETTINGS = {
  load: {
    routers: list({help: 'Base addresses of the routers, http://IP:PORT.'}),
    services: list({
      help: 'Base addresses of service stand-ins to audit for double runs.',
      fallback: '',
    }),
    mix: text({help: 'Mix file (JSON).'}),
    seed: integer(0, 2 ** 31, {help: 'Seed of the requests.', fallback: '1'}),
    duration_ms: integer(1, MAX_MS, {
      help: 'Time during which requests are sent.',
      fallback: '30000',
      unit: 'ms',
    }),
    max_in_flight: integer(1, 10_000, {
      help: 'More requests than this are not sent, and counted.',
      fallback: '500',
    }),
    grace_ms: integer(0, MAX_MS, {
      help: 'Time beyond its timeout after which a request is given up.',
      fallback: '2000',
      unit: 'ms',
    }),
    report: choice(['table', 'json'], {
      help: 'Report on standard output; --json does the same as json.',
      fallback: 'table',
    }),
  },
  baseline: {
    requests: integer(0, 1_000, {
      help: 'Requests of each length sent alone before the load.',
      fallback: '3',
    }),
    short_tokens: integer(1, 1_000_000, {
      help: 'Longest prompt that counts as short.',
      fallback: '10000',
      unit: 'tokens',
    }),
  },
};
