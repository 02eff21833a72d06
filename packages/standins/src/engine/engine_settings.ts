import {
  address,
  choice,
  decimal,
  integer,
  list,
  optionalText,
} from '@wisterialadder/runtime/settings/setting_kinds.js';
import {yesNo} from '../shared/yes_no.js';

const MAX_TOKENS = 100_000_000;
const MAX_MS = 3_600_000;

/** Settings of `wl-engine`. */
export const ENGINE_SETTINGS = {
  http: {
    listen: address({help: 'Address of the engine.'}),
  },
  engine: {
    seed: integer(0, 2 ** 31, {help: 'Seed of random faults.', fallback: '1'}),
    time_scale: decimal(0.001, 10_000, {
      help: 'Simulated milliseconds per millisecond.',
      fallback: '1',
    }),
    use_priorities: yesNo({help: 'Honours wl-priority.', fallback: 'yes'}),
    checks_fencing: yesNo({
      help: 'Refuses orders with an old fencing token.',
      fallback: 'yes',
    }),
    max_batch: integer(1, 10_000, {
      help: 'Streams computed at once.',
      fallback: '64',
    }),
    max_queued: integer(0, 1_000_000, {
      help: 'Streams that wait; more are refused as not run.',
      fallback: '256',
    }),
    max_stream_ms: integer(1, MAX_MS, {
      help: 'End of a stream whose request names no timeout.',
      fallback: '600000',
      unit: 'ms',
    }),
    models: list({help: 'Models at the start.', fallback: 'coder@1'}),
    role: choice(['mixed', 'prefill', 'decode'], {
      help: 'Role at the start.',
      fallback: 'mixed',
    }),
    model_load_ms: integer(0, MAX_MS, {
      help: 'Simulated time to load a model.',
      fallback: '20000',
      unit: 'ms',
    }),
    weight_store: optionalText({
      help: 'Base address of the weight store; empty for none.',
      fallback: '',
    }),
  },
  memory: {
    kv_tokens: integer(1, MAX_TOKENS, {
      help: 'KV memory.',
      fallback: '400000',
      unit: 'tokens',
    }),
    cache_event_delay_ms: integer(0, MAX_MS, {
      help: 'Time until cache events can be read.',
      fallback: '200',
      unit: 'ms',
    }),
    cache_event_loss: decimal(0, 1, {
      help: 'Probability that a cache event is lost.',
      fallback: '0.01',
    }),
  },
  cost: {
    prefill_linear_ms: decimal(0, 1_000, {
      help: 'Prefill cost of a token.',
      fallback: '0.05',
      unit: 'ms',
    }),
    prefill_quadratic_ms: decimal(0, 1, {
      help: 'Coefficient of the square of the prompt length.',
      fallback: '0.0000001',
      unit: 'ms',
    }),
    chunk_tokens: integer(1, 1_000_000, {
      help: 'Prefill tokens of one batch step.',
      fallback: '512',
    }),
    decode_base_ms: decimal(0, 10_000, {
      help: 'Decode cost of a batch step.',
      fallback: '12',
      unit: 'ms',
    }),
    decode_stream_ms: decimal(0, 10_000, {
      help: 'Added for each stream of the batch.',
      fallback: '0.3',
      unit: 'ms',
    }),
  },
  report: {
    interval_ms: integer(1, MAX_MS, {
      help: 'Time between load reports.',
      fallback: '200',
      unit: 'ms',
    }),
    lag_ms: integer(0, MAX_MS, {
      help: 'Age of the load report that is served.',
      fallback: '300',
      unit: 'ms',
    }),
  },
};
