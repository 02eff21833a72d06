import type {ClassRow} from '../types/class_row.js';
import type {CustomerRow} from '../types/customer_row.js';
import type {EndpointRow} from '../types/endpoint_row.js';

/** An idempotent class of model `coder`. */
export function classRow(over: Partial<ClassRow> = {}): ClassRow {
  return {
    type: 'class',
    name: 'lookup',
    service: 'coder',
    weight: 1,
    priority: 1,
    timeoutMs: 5_000,
    idempotent: true,
    objective: 'first_token',
    ...over,
  };
}

/** A customer without limits whose key hash is `hash-a`. */
export function customerRow(over: Partial<CustomerRow> = {}): CustomerRow {
  return {
    type: 'customer',
    name: 'clerks',
    keyHashes: ['hash-a'],
    classes: ['lookup'],
    weight: 1,
    requestsPerSecond: 0,
    tokensPerSecond: 0,
    maxConcurrent: 0,
    ...over,
  };
}

/** A serving engine of model `coder` with a capacity of 400,000 tokens. */
export function endpointRow(over: Partial<EndpointRow> = {}): EndpointRow {
  return {
    type: 'endpoint',
    name: 'engine-1',
    kind: 'engine',
    service: 'coder',
    url: 'http://127.0.0.1:9001',
    failureDomain: 'amman-1',
    kvCapacityTokens: 400_000,
    checksFencing: true,
    desired: 'serving',
    ...over,
  };
}
