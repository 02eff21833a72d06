import type {RouterConfig} from '../router/router_config.js';
import type {CachedPrefix} from './cached_prefix.js';
import {ExpectedCost} from './expected_cost.js';
import {LeastOutstanding} from './least_outstanding.js';
import {RoundRobin} from './round_robin.js';
import type {RoutingStrategy} from './routing_strategy.js';

/** Builds the strategy that the settings name. */
export function createStrategy(
  cfg: RouterConfig,
  cachedPrefix: CachedPrefix,
): RoutingStrategy {
  const {failureDomain, longPromptTokens} = cfg;
  switch (cfg.strategy) {
    case 'round_robin':
      return new RoundRobin();
    case 'least_outstanding':
      return new LeastOutstanding();
    case 'expected_cost':
      return new ExpectedCost({failureDomain, longPromptTokens, cachedPrefix});
  }
}
