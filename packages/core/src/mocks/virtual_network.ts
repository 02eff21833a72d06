import type {RandomSource} from '../types/random_source.js';
import type {VirtualQueue} from './virtual_queue.js';

const LOSS_SHARE = 0.02;
const DUPLICATE_SHARE = 0.05;
const MAX_DELAY_MS = 60;

/** Links between nodes and from each node to the log. */
export interface VirtualNetwork {
  /** Cuts or heals one link; `log` is the address of the log. */
  setPartition(a: string, b: string, cut: boolean): void;
  heal(): void;
  linked(a: string, b: string): boolean;
  /** Addresses that a node reaches directly or through others. */
  component(from: string, all: string[]): string[];
  /** Delivers with delay; a message can be duplicated or lost. */
  deliver(a: string, b: string, nowMs: number, run: () => void): void;
}

/** Creates a network without cuts. */
export function createVirtualNetwork(
  queue: VirtualQueue,
  random: RandomSource,
): VirtualNetwork {
  const cuts = new Set<string>();

  function linked(a: string, b: string): boolean {
    return !cuts.has(linkKey(a, b));
  }

  function component(from: string, all: string[]): string[] {
    const found = [from];
    for (const a of found) {
      for (const b of all) {
        if (!found.includes(b) && linked(a, b)) found.push(b);
      }
    }
    return found;
  }

  function deliver(a: string, b: string, nowMs: number, run: () => void): void {
    if (random() < LOSS_SHARE) return;
    const copies = random() < DUPLICATE_SHARE ? 2 : 1;
    for (let i = 0; i < copies; i++) {
      const atMs = nowMs + 1 + Math.floor(random() * MAX_DELAY_MS);
      queue.at(atMs, () => {
        if (linked(a, b)) run();
      });
    }
  }

  return {
    setPartition: (a, b, cut) => {
      if (cut) cuts.add(linkKey(a, b));
      else cuts.delete(linkKey(a, b));
    },
    heal: () => cuts.clear(),
    linked,
    component,
    deliver,
  };
}

function linkKey(a: string, b: string): string {
  return a < b ? `${a}|${b}` : `${b}|${a}`;
}
