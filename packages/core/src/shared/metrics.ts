/** Catalogue of metrics; label values are bounded by the table. */
export const METRICS = {
  requests_total: {
    type: 'counter',
    help: 'Requests ended, by class and outcome.',
    labels: ['class', 'outcome'],
  },
  attempts_total: {
    type: 'counter',
    help: 'Attempts started, by endpoint.',
    labels: ['endpoint'],
  },
  late_answers_total: {
    type: 'counter',
    help: 'Parts of answers dropped because their attempt had ended.',
    labels: [],
  },
  first_token_ms: {
    type: 'histogram',
    help: 'Milliseconds from arrival to first token, by class.',
    labels: ['class'],
  },
  waiting_requests: {
    type: 'gauge',
    help: 'Requests waiting, by class.',
    labels: ['class'],
  },
  oldest_waiting_ms: {
    type: 'gauge',
    help: 'Age of the oldest waiting request in milliseconds, by class.',
    labels: ['class'],
  },
  table_offset: {
    type: 'gauge',
    help: 'Offset of the next table record expected.',
    labels: [],
  },
  lease_held: {
    type: 'gauge',
    help: 'Whether this placer holds the lease, 0 or 1.',
    labels: [],
  },
  placement_demand: {
    type: 'gauge',
    help: 'Average demand in replicas, by model.',
    labels: ['model'],
  },
  placement_replicas: {
    type: 'gauge',
    help: 'Replicas decided, by model.',
    labels: ['model'],
  },
  placement_orders_total: {
    type: 'counter',
    help: 'Orders ended, by kind and result.',
    labels: ['kind', 'result'],
  },
} as const;
