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
  decimal,
  integer,
  list,
  text,
} from '@wisterialadder/runtime/settings/setting_kinds.js';

/** Settings of `wl-gateway`. */
export const GATEWAY_SETTINGS = {
  vm: VM_SECTION,
  caller: {
    listen: address({help: 'Address for callers.'}),
    probe: address({help: 'Address for the readiness probe.'}),
  },
  ops: OPS_SECTION,
  peers: {
    listen: address({
      help: 'Address for other gateways; the port is the same on every VM.',
    }),
    secret: text({help: 'Known to all gateways of a fleet and to no other.'}),
    seeds: list({
      help: 'Addresses of other VMs to contact first; ports are ignored.',
      fallback: '',
    }),
  },
  store: {
    address: address({help: 'Address of the store.'}),
  },
  shutdown: {
    grace: decimal(0, 86_400, {
      help: 'Time between SIGTERM and the end of the process.',
      unit: 's',
      fallback: '8',
    }),
    notice: integer(0, 600_000, {
      help: 'Part of the grace period in which requests are still taken, at most three eighths of it.',
      unit: 'ms',
      fallback: '3000',
    }),
  },
  retries: {
    ratio: decimal(0, 100_000, {
      help: 'Repeats that a service may get for each request.',
      fallback: '0.2',
    }),
    extra: decimal(0, 1_000_000_000, {
      help: 'Repeats beyond that in a window, over all gateways.',
      unit: 'repeats',
      fallback: '0',
    }),
    window: decimal(0, 86_400, {
      help: 'Length of the window in which repeats are counted.',
      unit: 's',
      fallback: '10',
    }),
  },
  memory: MEMORY_SECTION,
  connections: CONNECTIONS_SECTION,
  bodies: BODIES_SECTION,
  answers: {
    unread: integer(16, 1_048_576, {
      help: 'Part of an answer that may wait for its caller; a stream with more is broken off.',
      unit: 'KB',
      fallback: '2048',
    }),
    stall: decimal(1, 86_400, {
      help: 'Time after which an answer of which its caller reads nothing is broken off.',
      unit: 's',
      fallback: '60',
    }),
    interim: integer(0, 1_000, {
      help: 'Interim answers (1xx) that an endpoint may send before its answer.',
      fallback: '16',
    }),
  },
};
