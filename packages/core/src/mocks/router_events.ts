import type {LogRead} from '../router/events/log_read.js';
import type {RequestArrived} from '../router/events/request_arrived.js';
import type {RouterConfig} from '../router/router_config.js';
import type {TableRow} from '../types/table_row.js';
import {classRow, customerRow, endpointRow} from './rows.js';
import {additions, editAt} from './table_records.js';

/** Settings of a router without peers. */
export function routerConfig(over: Partial<RouterConfig> = {}): RouterConfig {
  return {
    address: '127.0.0.1:7001',
    failureDomain: 'amman-1',
    incarnation: 1,
    peers: [],
    strategy: 'least_outstanding',
    queue: 'fifo',
    longPromptTokens: 16_384,
    firstTokenTimeoutMs: 2_000,
    idleTimeoutMs: 1_000,
    drainNoticeMs: 500,
    maxWaiting: 1_000,
    fleetSize: 1,
    tableRetentionMs: 60_000,
    keyMaxAgeMs: 600_000,
    clockToleranceMs: 1_000,
    ...over,
  };
}

/** The table stream with one edit that adds the rows. */
export function tableRead(rows: TableRow[] = defaultRows()): LogRead {
  return {
    kind: 'log_read',
    stream: 'table',
    from: 0,
    earliest: 0,
    end: 1,
    records: [editAt(0, additions(rows))],
  };
}

/** One class, one customer, two engines. */
export function defaultRows(): TableRow[] {
  return [
    classRow(),
    customerRow(),
    endpointRow(),
    endpointRow({name: 'engine-2', url: 'http://127.0.0.1:9002'}),
  ];
}

/** A short request of the customer `clerks`. */
export function requestArrived(
  over: Partial<RequestArrived> = {},
): RequestArrived {
  return {
    kind: 'request_arrived',
    reqId: 'req-1',
    keyHash: 'hash-a',
    className: '',
    service: '',
    promptTokens: 1_000,
    maxOutputTokens: 100,
    prefixHashes: [],
    idempotencyKey: '',
    ...over,
  };
}
