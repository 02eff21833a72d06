/** Routing strategies that settings can name. */
export type StrategyName =
  'expected_cost' | 'round_robin' | 'least_outstanding';
