import type {RandomSource} from '../types/random_source.js';
import type {Route} from './route.js';

/** Draws one of the route's services by weight. */
export function pickService(route: Route, random: RandomSource): string {
  const {services} = route;
  const total = services.reduce((sum, {weight}) => sum + weight, 0);
  let rest = random() * total;
  for (const {service, weight} of services) {
    rest -= weight;
    if (rest < 0) return service;
  }
  return services[services.length - 1]?.service ?? '';
}
