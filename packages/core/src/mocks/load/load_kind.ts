import type {Route} from '../../configuration/route.js';
import {callRoute, streamRoute} from '../gateway_parts.js';

/** Kinds of requests of the load test. */
export type LoadKind = 'short' | 'medium' | 'long' | 'read' | 'write';

/** Usual traffic of one kind of request and its route. */
export interface LoadKindSpec {
  kind: LoadKind;
  route: Route;
  /** Requests a second in usual traffic, over all gateways. */
  perS: number;
  promptTokens: number;
  /** Largest prompt as a multiple of the smallest. */
  promptRange: number;
  /** Median tokens of an answer; 0 for calls. */
  outputTokens: number;
  /** Median service time of a call; 0 for streams. */
  serviceMs: number;
}

/** Kinds whose rates are scaled to twelve engines and three plain endpoints. */
export const LOAD_KINDS: LoadKindSpec[] = [
  stream('short', 16, 5_000, 3, 310, 250, 10_000),
  stream('medium', 2, 45_000, 3, 1_500, 600, 20_000),
  stream('long', 0.15, 260_000, 3, 4_000, 1_000, 40_000),
  call('read', 100, 30),
  call('write', 50, 60),
];

function stream(
  kind: LoadKind,
  perS: number,
  promptTokens: number,
  promptRange: number,
  targetMs: number,
  targetGapMs: number,
  timeoutMs: number,
): LoadKindSpec {
  const limits = {targetMs, targetGapMs, timeoutMs};
  const route = streamRoute({name: kind, prefix: `/${kind}/`, ...limits});
  const answer = {outputTokens: 900, serviceMs: 0};
  return {kind, route, perS, promptTokens, promptRange, ...answer};
}

function call(
  kind: 'read' | 'write',
  perS: number,
  serviceMs: number,
): LoadKindSpec {
  const route = callRoute({
    name: kind,
    prefix: `/${kind}/`,
    kind: kind === 'read' ? 'idempotent' : 'non_idempotent',
    maxAttempts: kind === 'read' ? 2 : 1,
    targetMs: 250,
  });
  const prompt = {promptTokens: 0, promptRange: 1, outputTokens: 0};
  return {kind, route, perS, serviceMs, ...prompt};
}
