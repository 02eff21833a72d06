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
  claims_total: {
    type: 'counter',
    help: 'Claims decided, by verdict.',
    labels: ['verdict'],
  },
  claim_appends_total: {
    type: 'counter',
    help: 'Batches of claims and outcomes sent to the log.',
    labels: [],
  },
  claim_wait_ms: {
    type: 'histogram',
    help: 'Milliseconds from claim to verdict.',
    labels: [],
  },
  table_offset: {
    type: 'gauge',
    help: 'Offset of the next table record expected.',
    labels: [],
  },
} as const;
