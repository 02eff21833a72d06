import {LeastOutstanding} from './least_outstanding.js';
import {RoundRobin} from './round_robin.js';
import type {RoutingStrategy} from './routing_strategy.js';
import type {StrategyName} from './strategy_name.js';

/** Builds the strategy that the settings name. */
export function createStrategy(name: StrategyName): RoutingStrategy {
  switch (name) {
    case 'round_robin':
      return new RoundRobin();
    case 'least_outstanding':
    case 'expected_cost':
      return new LeastOutstanding();
  }
}
