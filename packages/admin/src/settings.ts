import {OPS_SECTION} from '@wisterialadder/runtime/settings/common_sections.js';
import {
  BODIES_SECTION,
  CONNECTIONS_SECTION,
  MEMORY_SECTION,
} from '@wisterialadder/runtime/settings/limit_sections.js';
import {
  address,
  integer,
  list,
  url,
} from '@wisterialadder/runtime/settings/setting_kinds.js';
import {keyList} from './auth/key_list.js';

/** Settings of `wl-admin`. */
export const ADMIN_SETTINGS = {
  admin: {
    listen: address({help: 'Address of the administration API.'}),
    max_body_kb: integer(1, 65_536, {
      help: 'Largest request body; a row needs about 0.3.',
      unit: 'kB',
      fallback: '4096',
    }),
  },
  ops: OPS_SECTION,
  platform: {
    url: url({help: 'Address of the platform, whose log holds the table.'}),
  },
  edits: {
    answer_within: integer(100, 60_000, {
      help: 'Wait for a verdict before an edit is answered as pending.',
      unit: 'ms',
      fallback: '5000',
    }),
    retry_every: integer(100, 60_000, {
      help: 'Pause before an edit whose append got no answer is sent again.',
      unit: 'ms',
      fallback: '1000',
    }),
    retry_for: integer(0, 3_600_000, {
      help: 'How long such an edit is sent again without anybody asking.',
      unit: 'ms',
      fallback: '300000',
    }),
    max_open: integer(1, 10_000, {
      help: 'Edits without a verdict at once; more are refused.',
      unit: 'edits',
      fallback: '100',
    }),
  },
  keys: {
    readers: keyList({help: 'Keys that may read.', fallback: ''}),
    operators: keyList({
      help: 'Keys that may also start, drain and stop endpoints.',
      fallback: '',
    }),
    editors: keyList({help: 'Keys that may do everything.', fallback: ''}),
  },
  routers: {
    ops: list({
      help: 'Operations addresses of the routers shown in the status.',
      fallback: '',
    }),
    timeout: integer(50, 10_000, {
      help: 'Wait for a router before it is shown as unreachable.',
      unit: 'ms',
      fallback: '1000',
    }),
  },
  memory: MEMORY_SECTION,
  connections: CONNECTIONS_SECTION,
  bodies: BODIES_SECTION,
};
