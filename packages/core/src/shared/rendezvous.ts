import {hash32} from './hash32.js';

/** Sorts nodes by their rendezvous weight for a key, highest first. */
export function rendezvousOrder(key: string, nodes: string[]): string[] {
  return nodes
    .map(node => ({node, weight: hash32(`${key}|${node}`)}))
    .sort((a, b) => b.weight - a.weight || (a.node < b.node ? -1 : 1))
    .map(({node}) => node);
}

/** Returns the node with the highest weight; undefined if there is none. */
export function rendezvousFirst(
  key: string,
  nodes: string[],
): string | undefined {
  return rendezvousOrder(key, nodes)[0];
}
