import type {RandomSource} from '../types/random_source.js';
import type {VirtualClock} from './virtual_clock.js';

const LATENCY_MS = 2;
const JITTER_MS = 30;

/** Network with loss, delay and partitions between addresses. */
export interface VirtualNetwork {
  /** Share of messages that are lost. */
  loss: number;
  /** Replaces the partition; `isCut` must be symmetric. */
  setPartition(isCut: (a: string, b: string) => boolean): void;
  connected(a: string, b: string): boolean;
  /** Time at which the two were last reconnected; 0 if never separated. */
  connectedSinceMs(a: string, b: string): number;
  send(from: string, to: string, deliver: () => void): void;
}

/** Creates a network without faults. */
export function createVirtualNetwork(
  clock: VirtualClock,
  random: RandomSource,
): VirtualNetwork {
  let isCut: (a: string, b: string) => boolean = () => false;
  const pastPartitions: {isCut: typeof isCut; endMs: number}[] = [];

  function connected(a: string, b: string): boolean {
    return !isCut(a, b);
  }

  const network: VirtualNetwork = {
    loss: 0,
    setPartition: next => {
      pastPartitions.push({isCut, endMs: clock.nowMs()});
      isCut = next;
    },
    connected,
    connectedSinceMs: (a, b) =>
      pastPartitions.findLast(cut => cut.isCut(a, b))?.endMs ?? 0,
    send: (from, to, deliver) => {
      if (!connected(from, to) || random() < network.loss) return;
      const delayMs = LATENCY_MS + random() ** 4 * JITTER_MS;
      clock.at(clock.nowMs() + delayMs, () => {
        if (connected(from, to)) deliver();
      });
    },
  };
  return network;
}
