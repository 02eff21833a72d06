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
  limit_refusals_total: {
    type: 'counter',
    help: 'Requests refused by a limit, by customer and code.',
    labels: ['customer', 'code'],
  },
  table_offset: {
    type: 'gauge',
    help: 'Offset of the next table record expected.',
    labels: [],
  },
  members_alive: {
    type: 'gauge',
    help: 'Routers believed alive, this one included.',
    labels: [],
  },
  orphans_released_total: {
    type: 'counter',
    help: 'Releases of orphaned sessions sent, by reason.',
    labels: ['reason'],
  },
  table_lag_records: {
    type: 'gauge',
    help: 'Table records on the log that the process has not read yet.',
    labels: [],
  },
  edits_total: {
    type: 'counter',
    help: 'Table edits settled by this process, by state.',
    labels: ['state'],
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
  pending_events: {
    type: 'gauge',
    help: 'Events that the loop has not received yet.',
    labels: [],
  },
  refused_events: {
    type: 'gauge',
    help: 'Events refused since the start because too many were pending.',
    labels: [],
  },
  part_verdicts_total: {
    type: 'counter',
    help: 'Verdicts on parts of prompts that this gateway adopted, by state and source.',
    labels: ['state', 'source'],
  },
  request_verdicts_total: {
    type: 'counter',
    help: 'Verdicts on requests that this gateway adopted, by state and source.',
    labels: ['state', 'source'],
  },
  suspected_requests_total: {
    type: 'counter',
    help: 'Requests with a suspected or quarantined cause, by what became of them.',
    labels: ['admission'],
  },
  failed_attempts_total: {
    type: 'counter',
    help: 'Attempts without a whole answer, by service, failure, what of an answer had arrived, and use of the connection.',
    labels: ['service', 'failure', 'answered', 'connection'],
  },
  forwarded_total: {
    type: 'counter',
    help: 'Requests forwarded by a gateway, by service and outcome.',
    labels: ['service', 'outcome'],
  },
  first_piece_ms: {
    type: 'histogram',
    help: 'Milliseconds from arrival to the first piece, by service.',
    labels: ['service'],
  },
  endpoint_hints_total: {
    type: 'counter',
    help: 'Endpoints that said in an answer that they leave or want a pause.',
    labels: ['hint'],
  },
  unreadable_records_total: {
    type: 'counter',
    help: 'Records of the store that were left out and logged.',
    labels: [],
  },
  prompt_parts_left_out_total: {
    type: 'counter',
    help: 'Parts of prompts that are too many to be quarantined.',
    labels: [],
  },
  registered_endpoints: {
    type: 'gauge',
    help: 'Endpoints that this gateway knows; equal at all gateways.',
    labels: [],
  },
  cold_endpoints: {
    type: 'gauge',
    help: 'Endpoints whose rate is restricted since they have just started.',
    labels: [],
  },
  drained_domains: {
    type: 'gauge',
    help: 'Failure domains that the operator drains; equal at all gateways.',
    labels: [],
  },
  store_restorations_total: {
    type: 'counter',
    help: 'Times that the store came back from an older copy.',
    labels: [],
  },
  registry_repairs_total: {
    type: 'counter',
    help: 'Reads of the store since the reader knew other endpoints.',
    labels: [],
  },
  held_bytes: {
    type: 'gauge',
    help: 'Bytes of bodies, answers and unread bytes in the memory budget.',
    labels: [],
  },
  caller_connections: {
    type: 'gauge',
    help: 'Open connections of callers.',
    labels: [],
  },
  given_up_total: {
    type: 'counter',
    help: 'Bodies, answers and connections of callers that were given up, by reason.',
    labels: ['what', 'reason'],
  },
} as const;
