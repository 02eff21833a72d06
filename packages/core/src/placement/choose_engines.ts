import {rendezvousOrder} from '../shared/rendezvous.js';
import type {EndpointRow} from '../types/endpoint_row.js';

/**
 * Chooses the engines that hold a model: spread over failure domains, and
 * within a domain by rendezvous hashing. The choice depends only on the rows
 * and the number of replicas, so every lease holder makes the same one, and a
 * change of the number or of one engine moves as few replicas as possible.
 */
export function chooseEngines(
  model: string,
  rows: EndpointRow[],
  replicas: number,
): string[] {
  const domains = [...new Set(rows.map(row => row.failureDomain))];
  const byDomain = rendezvousOrder(model, domains).map(domain =>
    rendezvousOrder(
      model,
      rows.filter(row => row.failureDomain === domain).map(row => row.name),
    ),
  );
  const largestDomain = Math.max(0, ...byDomain.map(names => names.length));
  const ranked = Array.from({length: largestDomain}, (_, rank) =>
    byDomain.map(names => names[rank]).filter(name => name !== undefined),
  );
  return ranked.flat().slice(0, replicas);
}
