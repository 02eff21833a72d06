import type {RouterAction} from '../router/actions/router_action.js';
import type {RouterEvent} from '../router/events/router_event.js';
import type {CustomerRow} from '../types/customer_row.js';
import {createTestRandom} from './step_harness.js';
import {
  startVirtualLimitNode,
  type VirtualLimitNode,
} from './virtual_limit_node.js';
import {createVirtualNetwork, type VirtualNetwork} from './virtual_network.js';
import {createVirtualQueue} from './virtual_queue.js';

const STEP_MS = 50;
/** Longest delay until a process detects a change of its reachable peers. */
export const MAX_VIEW_LAG_MS = 1_000;
export const MAX_DURATION_MS = 800;
export const MAX_TOKENS = 200;

/** A request that was admitted. */
export interface AdmittedRequest {
  atMs: number;
  tokens: number;
}

/** Several processes that share the limits of one customer. */
export interface VirtualLimitFleet {
  readonly addresses: string[];
  readonly network: VirtualNetwork;
  readonly admitted: AdmittedRequest[];
  /** Requests per second that callers offer to each process. */
  readonly offered: Map<string, number>;
  nowMs(): number;
  node(address: string): VirtualLimitNode;
  restart(address: string): void;
  /** Makes every process detect its reachable peers after a random delay. */
  updateViews(): void;
  run(forMs: number, check: () => void): void;
}

/** Starts `size` processes that consider all of them alive. */
export function startVirtualLimitFleet(
  size: number,
  customer: CustomerRow,
  seed: number,
): VirtualLimitFleet {
  const random = createTestRandom(seed);
  const queue = createVirtualQueue();
  const network = createVirtualNetwork(queue, random);
  const addresses = Array.from({length: size}, (_, i) => `10.0.0.${i}:7001`);
  const nodes = new Map<string, VirtualLimitNode>();
  const offered = new Map<string, number>();
  /** Fraction of a request that is not yet offered, by process. */
  const remainders = new Map<string, number>();
  const admitted: AdmittedRequest[] = [];
  let nowMs = 0;
  let incarnation = 0;

  function restart(address: string): void {
    incarnation += 1;
    const alive = network.component(address, addresses);
    const node = startVirtualLimitNode(
      address,
      incarnation,
      alive,
      size,
      customer,
      random,
    );
    nodes.set(address, node);
  }

  function updateViews(): void {
    for (const address of addresses) {
      queue.at(nowMs + random() * MAX_VIEW_LAG_MS, () => {
        const alive = network.component(address, addresses);
        nodes.get(address)!.view.alive = alive;
      });
    }
  }

  function perform(from: string, actions: RouterAction[]): void {
    for (const action of actions) {
      if (action.kind !== 'send_peer') continue;
      const {to} = action;
      const message = structuredClone(action.message);
      network.deliver(from, to, nowMs, () =>
        feed(to, {kind: 'peer_received', from, fromIncarnation: 1, message}),
      );
    }
  }

  function feed(address: string, event: RouterEvent): void {
    perform(address, nodes.get(address)!.step(event, nowMs));
  }

  function offer(node: VirtualLimitNode): void {
    const rate = offered.get(node.address) ?? 0;
    // Arrivals are evenly spaced, since a random gap would make a router idle.
    const due = (remainders.get(node.address) ?? 0) + (rate * STEP_MS) / 1_000;
    const count = Math.floor(due);
    remainders.set(node.address, due - count);
    for (let i = 0; i < count; i++) {
      const tokens = 1 + Math.floor(random() * MAX_TOKENS);
      const emitted: RouterAction[] = [];
      const ok = node.offer(nowMs, tokens, emitted);
      perform(node.address, emitted);
      if (!ok) continue;
      admitted.push({atMs: nowMs, tokens});
      const endMs = nowMs + random() * MAX_DURATION_MS;
      queue.at(endMs, () => node.release(nowMs));
    }
  }

  function run(forMs: number, check: () => void): void {
    const untilMs = nowMs + forMs;
    while (nowMs < untilMs) {
      nowMs += STEP_MS;
      queue.runDue(nowMs);
      for (const address of addresses) {
        feed(address, {kind: 'tick'});
        offer(nodes.get(address)!);
      }
      check();
    }
  }

  for (const address of addresses) restart(address);
  return {
    addresses,
    network,
    admitted,
    offered,
    nowMs: () => nowMs,
    node: address => nodes.get(address)!,
    restart,
    updateViews,
    run,
  };
}
