import {customerEstimate, combineByPrecision} from './combined_estimate.js';
import type {Estimate} from './estimate.js';
import type {ExpectedWork} from './expected_work.js';
import type {RequestWork} from './request_work.js';
import type {WorkTables} from './work_tables.js';

/** Service time of calls of which nothing was observed, in milliseconds. */
const UNKNOWN_SERVICE_MS = 50;
/** Weight and variance of a declared length before any answer was seen. */
const UNKNOWN_DECLARED: Estimate = {mean: 0, variance: 0.25, weight: 4};
/** Bounds of the slowness of an endpoint. */
const MIN_SLOWNESS = 1 / 4;
const MAX_SLOWNESS = 8;

/**
 * Standard deviations of the mean by which an endpoint must differ from others;
 * otherwise all gateways prefer the one that happened to serve short calls.
 */
const SIGNIFICANT_DEVIATIONS = 2;

/** Cost of requests and speed of endpoints, as observed by the gateways. */
export interface WorkModel {
  /** Expected cost of a request. */
  expect(req: RequestWork): ExpectedWork;
  /** Records the length of a whole answer. */
  answerEnded(req: RequestWork, tokens: number): void;
  /** Records the time of a call that did not have to wait. */
  callEnded(route: string, endpoint: string, ms: number): void;
  /** How many times slower than others of its service an endpoint is. */
  slowness(endpoint: string): number;
}

/** Creates a model that learns into tables. */
export function createWorkModel(tables: WorkTables): WorkModel {
  const {length, declared: ratios, service, slowness} = tables;

  function lookUp(
    table: WorkTables['length'],
    route: string,
    customer: string,
  ): Estimate | undefined {
    const own = table.get(keyOf(route, customer));
    return customerEstimate(table.get(route), own);
  }

  function expect(req: RequestWork): ExpectedWork {
    if (!req.streamed)
      return {outputTokens: 0, serviceMs: serviceMs(req.route)};
    return {outputTokens: outputTokens(req), serviceMs: 0};
  }

  function outputTokens(req: RequestWork): number {
    const {route, customer, declaredTokens: declared, maxOutputTokens} = req;
    if (declared <= 0) return 0;
    const ratio = lookUp(ratios, route, customer) ?? UNKNOWN_DECLARED;
    const hinted = {...ratio, mean: ratio.mean + Math.log(declared)};
    const usual = lookUp(length, route, customer);
    const best = usual ? combineByPrecision(hinted, usual) : hinted;
    // The mean of a value whose logarithm is normal.
    const tokens = Math.exp(best.mean + (usual ? best.variance / 2 : 0));
    return Math.round(Math.min(maxOutputTokens, tokens));
  }

  function answerEnded(
    {route, customer, declaredTokens: declared}: RequestWork,
    tokens: number,
  ): void {
    if (declared <= 0 || tokens <= 0) return;
    const ratio = Math.log(tokens / declared);
    for (const key of [route, keyOf(route, customer)]) {
      length.observe(key, Math.log(tokens));
      ratios.observe(key, ratio);
    }
  }

  function serviceMs(route: string): number {
    const known = service.get(route);
    return known ? Math.exp(known.mean) : UNKNOWN_SERVICE_MS;
  }

  function callEnded(route: string, endpoint: string, ms: number): void {
    const observed = Math.log(Math.max(1, ms));
    const usual = service.get(route)?.mean ?? observed;
    slowness.observe(endpoint, observed - usual);
    service.observe(route, observed - Math.log(slownessOf(endpoint)));
  }

  function slownessOf(endpoint: string): number {
    const known = slowness.get(endpoint);
    if (!known) return 1;
    const {mean, variance, weight} = known;
    const doubt = Math.sqrt(variance / weight) * SIGNIFICANT_DEVIATIONS;
    const certain = Math.sign(mean) * Math.max(0, Math.abs(mean) - doubt);
    const factor = Math.exp(certain);
    return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, factor));
  }

  return {expect, answerEnded, callEnded, slowness: slownessOf};
}

function keyOf(route: string, customer: string): string {
  return `${route}/${customer}`;
}
