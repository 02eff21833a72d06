import {shuffled} from '../shared/shuffled.js';
import type {RandomSource} from '../types/random_source.js';

/** Selects peers in rounds: each once before any is selected again. */
export interface PeerRotation {
  /** Returns up to `count` different peers out of those given. */
  take(peers: string[], count: number, random: RandomSource): string[];
}

/** Creates a rotation; its order is random and changes with each round. */
export function createPeerRotation(): PeerRotation {
  let round: string[] = [];

  function take(
    peers: string[],
    count: number,
    random: RandomSource,
  ): string[] {
    const taken = new Set<string>();
    const targetCount = Math.min(count, peers.length);
    while (taken.size < targetCount) {
      if (round.length === 0) round = shuffled(peers, random);
      const peer = round.pop();
      if (peer !== undefined && peers.includes(peer)) taken.add(peer);
    }
    return [...taken];
  }

  return {take};
}
