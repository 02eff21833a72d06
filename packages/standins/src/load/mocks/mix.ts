import type {Mix} from '../mix/mix.js';

/** Short lookups and register writes of two customers. */
export function mix(overrides: Partial<Mix> = {}): Mix {
  const common = {share: 1, repeatShare: 0, customers: []};
  return {
    requestsPerSecond: 20,
    customers: [
      {name: 'clerks', key: 'key-a', share: 3},
      {name: 'analysts', key: 'key-b', share: 1},
    ],
    classes: [
      {
        ...common,
        name: 'lookup',
        kind: 'chat',
        share: 8,
        timeoutMs: 2_000,
        idempotent: true,
        model: 'coder',
        length: {distribution: 'fixed', tokens: 1_000},
        maxTokens: 8,
      },
      {
        ...common,
        name: 'register',
        kind: 'service',
        timeoutMs: 1_000,
        idempotent: false,
        repeatShare: 0.5,
        service: 'register',
        action: 'write',
      },
    ],
    ...overrides,
  };
}
