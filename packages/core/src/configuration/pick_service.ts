import type {RandomSource} from '../types/random_source.js';
import type {Route} from './route.js';

/** Picks one of the route's services at random by weight. */
export function pickService(route: Route, random: RandomSource): string {
  const {services} = route;
  const total = services.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = random() * total;
  for (const {service, weight} of services) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return services[services.length - 1]?.service ?? '';
}
