import {
  BODIES_SECTION,
  CONNECTIONS_SECTION,
  MEMORY_SECTION,
} from '@wisterialadder/runtime/settings/limit_sections.js';
import {
  OPS_SECTION,
  VM_SECTION,
} from '@wisterialadder/runtime/settings/common_sections.js';
import {
  address,
  choice,
  integer,
  list,
  text,
  url,
} from '@wisterialadder/runtime/settings/setting_kinds.js';

/** Settings of `wl-router`. */
export const ROUTER_SETTINGS = {
  vm: VM_SECTION,
  caller: {
    listen: address({help: 'Address for callers.'}),
    max_body_mb: integer(1, 256, {
      help: 'Largest request body; a million tokens need about 5.',
      unit: 'MB',
      fallback: '16',
    }),
  },
  ops: OPS_SECTION,
  peers: {
    listen: address({help: 'Address for other routers.'}),
    secret: text({help: 'Shared secret of all routers.'}),
    seeds: list({
      help: 'Peer addresses to contact first.',
      fallback: '',
    }),
  },
  platform: {
    url: url({help: 'Address of the platform: log, VM list, weight store.'}),
    log_retention: integer(60_000, 315_360_000_000, {
      help: 'Time that the log keeps a record.',
      unit: 'ms',
      fallback: '86400000',
    }),
  },
  routing: {
    strategy: choice(['expected_cost', 'round_robin', 'least_outstanding'], {
      help: 'How endpoints are chosen; the others are baselines.',
      fallback: 'expected_cost',
    }),
    queue: choice(['fair', 'fifo'], {
      help: 'Order of waiting requests; fifo is a baseline.',
      fallback: 'fair',
    }),
    long_prompt_tokens: integer(1, 10_000_000, {
      help: 'Longer prompts go to the lane for long ones.',
      unit: 'tokens',
      fallback: '16384',
    }),
    max_waiting: integer(1, 1_000_000, {
      help: 'Requests that may wait at once; more are refused.',
      unit: 'requests',
      fallback: '10000',
    }),
    fleet_size: integer(1, 100_000, {
      help: 'Routers of the fleet; a router without a share of a limit uses the limit divided by this.',
      unit: 'routers',
      fallback: '7',
    }),
    seed: integer(0, 4_294_967_295, {
      help: 'Seed of random choices; 0 takes one from the clock.',
      fallback: '0',
    }),
  },
  claims: {
    key_max_age: integer(60_000, 315_360_000_000, {
      help: 'Older idempotency keys are refused; less than log_retention.',
      unit: 'ms',
      fallback: '43200000',
    }),
    clock_tolerance: integer(0, 3_600_000, {
      help: 'Largest difference between the wall clocks of callers and VMs.',
      unit: 'ms',
      fallback: '60000',
    }),
  },
  timeouts: {
    first_token: integer(100, 3_600_000, {
      help: 'Silence of an endpoint before the first part of an answer.',
      unit: 'ms',
      fallback: '120000',
    }),
    idle: integer(100, 3_600_000, {
      help: 'Silence of an endpoint between parts of an answer.',
      unit: 'ms',
      fallback: '10000',
    }),
    drain_notice: integer(0, 600_000, {
      help: 'Time between "not ready" and refusing requests at shutdown.',
      unit: 'ms',
      fallback: '3000',
    }),
    load_report_interval: integer(50, 60_000, {
      help: 'Time between reads of an endpoint load report.',
      unit: 'ms',
      fallback: '500',
    }),
  },
  memory: MEMORY_SECTION,
  connections: CONNECTIONS_SECTION,
  bodies: BODIES_SECTION,
};
