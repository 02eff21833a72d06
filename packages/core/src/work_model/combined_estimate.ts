import type {Estimate} from './estimate.js';

/** Observations of a customer that count as much as all of its route. */
const CUSTOMER_PRIOR_WEIGHT = 4;
/** Keeps the precision finite if all observations were equal. */
const MIN_VARIANCE = 1e-4;

/**
 * Estimate for a customer on a route: the customer's own observations prevail
 * as they get more.
 */
export function customerEstimate(
  route: Estimate | undefined,
  customer: Estimate | undefined,
): Estimate | undefined {
  if (!route || !customer) return customer ?? route;
  const share = customer.weight / (customer.weight + CUSTOMER_PRIOR_WEIGHT);
  return {
    mean: route.mean + (customer.mean - route.mean) * share,
    variance: route.variance + (customer.variance - route.variance) * share,
    weight: customer.weight + route.weight * (1 - share),
  };
}

/** Combines two independent estimates of one value by their precision. */
export function combineByPrecision(a: Estimate, b: Estimate): Estimate {
  const precisionA = precision(a);
  const precisionB = precision(b);
  const sum = precisionA + precisionB;
  return {
    mean: (a.mean * precisionA + b.mean * precisionB) / sum,
    variance: 1 / sum,
    weight: a.weight + b.weight,
  };
}

/** The variance of the mean itself makes few observations count little. */
function precision({variance, weight}: Estimate): number {
  return 1 / Math.max(MIN_VARIANCE, variance * (1 + 1 / weight));
}
