import type {RequestArrived} from '../../gateway/events/request_arrived.js';
import type {RandomSource} from '../../types/random_source.js';
import {requestArrived} from '../gateway_harness.js';
import type {LoadKind, LoadKindSpec} from './load_kind.js';

/** Largest ratio of the output limit to the median answer. */
const MAX_OUTPUT_FACTOR = 5;
/** Spread of the logarithm of the length of answers. */
const LENGTH_SPREAD = 0.4;
/** Spread of the logarithm of the declared to the true length. */
const HINT_SPREAD = 0.8;
/** Customers whose declared lengths are several times too short or too long. */
const HINT_BIAS: Record<string, number> = {c0: 3, c1: 1 / 3};

/** A caller's request and what the gateways do not know of it. */
export interface LoadRequest {
  kind: LoadKind;
  customer: string;
  event: RequestArrived;
  /** True length of the answer, in tokens. */
  outputTokens: number;
  /** True service time on a plain endpoint of usual speed. */
  serviceMs: number;
}

/** Draws a request of a kind. */
export function drawRequest(
  {kind, route, ...spec}: LoadKindSpec,
  customer: string,
  random: RandomSource,
): LoadRequest {
  const bias = HINT_BIAS[customer] ?? 1;
  const maxOutputTokens = spec.outputTokens * MAX_OUTPUT_FACTOR;
  const length = spec.outputTokens * Math.exp(LENGTH_SPREAD * normal(random));
  const outputTokens = Math.round(Math.min(maxOutputTokens, length));
  const hint = (outputTokens / bias) * Math.exp(HINT_SPREAD * normal(random));
  const promptTokens = Math.round(
    (spec.promptTokens * spec.promptRange ** random()) /
      Math.sqrt(spec.promptRange),
  );
  const event = requestArrived({
    path: `${route.prefix}1`,
    bearerKey: customer,
    promptTokens,
    maxOutputTokens,
    expectedOutputTokens: Math.round(Math.min(maxOutputTokens, hint)),
    remainingMs: route.timeoutMs,
    bodyBytes: promptTokens / 4,
  });
  const serviceMs = spec.serviceMs * Math.exp(0.5 * normal(random));
  return {kind, customer, event, outputTokens, serviceMs};
}

/** A number of the standard normal distribution. */
function normal(random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}
