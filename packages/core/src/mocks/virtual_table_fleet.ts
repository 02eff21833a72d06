import type {RouterAction} from '../router/actions/router_action.js';
import type {RouterEvent} from '../router/events/router_event.js';
import type {RandomSource} from '../types/random_source.js';
import {createTestRandom} from './step_harness.js';
import {createVirtualLog, type VirtualLog} from './virtual_log.js';
import {createVirtualNetwork, type VirtualNetwork} from './virtual_network.js';
import {createVirtualQueue} from './virtual_queue.js';
import {
  startVirtualTableNode,
  type VirtualTableNode,
} from './virtual_table_node.js';

const STEP_MS = 25;
const READ_RETRY_MS = 250;
const LOST_ANSWER_SHARE = 0.2;
const FAILED_APPEND_SHARE = 0.1;

/** Several table features, a log and a network on one virtual clock. */
export interface VirtualTableFleet {
  readonly addresses: string[];
  readonly log: VirtualLog;
  readonly network: VirtualNetwork;
  readonly random: RandomSource;
  nowMs(): number;
  node(address: string): VirtualTableNode;
  restart(address: string): void;
  /** Runs for a time and calls `check` after each step. */
  run(forMs: number, check: () => void): void;
}

/** Starts `size` nodes with an empty log. */
export function startVirtualTableFleet(
  size: number,
  retentionMs: number,
  seed: number,
): VirtualTableFleet {
  const random = createTestRandom(seed);
  const queue = createVirtualQueue();
  const log = createVirtualLog(retentionMs);
  const network = createVirtualNetwork(queue, random);
  const addresses = Array.from({length: size}, (_, i) => `10.0.0.${i}:7001`);
  const nodes = new Map<string, VirtualTableNode>();
  let nowMs = 1_000;

  function restart(address: string): void {
    const node = startVirtualTableNode(
      address,
      addresses,
      retentionMs,
      nowMs,
      random,
    );
    nodes.set(address, node);
  }

  function feed(node: VirtualTableNode, event: RouterEvent): void {
    if (nodes.get(node.address) !== node) return;
    for (const action of node.step(event, nowMs)) perform(node, action);
  }

  function perform(node: VirtualTableNode, action: RouterAction): void {
    const from = node.address;
    if (action.kind === 'tail') {
      node.tailFrom = action.from;
      node.seenEnd = -1;
    }
    if (action.kind === 'append') append(node, action.appendId, action.data);
    if (action.kind !== 'send_peer') return;
    const {to} = action;
    const message = structuredClone(action.message);
    network.deliver(from, to, nowMs, () => {
      const receiver = nodes.get(to);
      if (!receiver) return;
      feed(receiver, {
        kind: 'peer_received',
        from,
        fromIncarnation: 1,
        message,
      });
    });
  }

  function append(
    node: VirtualTableNode,
    appendId: string,
    data: string,
  ): void {
    const lost = random() < LOST_ANSWER_SHARE;
    const reached =
      network.linked(node.address, 'log') && random() >= FAILED_APPEND_SHARE;
    const offset = reached ? log.append(data, nowMs) : -1;
    const known = reached ? 'appended' : 'not_appended';
    const result = lost ? 'unknown' : known;
    const settled: RouterEvent = {
      kind: 'append_settled',
      appendId,
      result,
      offset: result === 'appended' ? offset : -1,
    };
    queue.at(nowMs + 20, () => feed(node, settled));
  }

  function readLog(node: VirtualTableNode): void {
    if (!network.linked(node.address, 'log')) {
      if (nowMs < node.readAtMs) return;
      node.readAtMs = nowMs + READ_RETRY_MS;
      node.seenEnd = -1;
      feed(node, {kind: 'log_read_failed', stream: 'table'});
      return;
    }
    // A long poll returns at once only if it has records or a new end.
    if (node.seenEnd === log.end() && node.tailFrom >= log.end()) return;
    const records = log.read(node.tailFrom, nowMs);
    const from = node.tailFrom;
    const earliest = log.earliest(nowMs);
    const last = records.at(-1);
    if (last) node.tailFrom = last.offset + 1;
    node.seenEnd = log.end();
    const end = log.end();
    const stream = 'table';
    feed(node, {kind: 'log_read', stream, from, earliest, end, records});
  }

  function run(forMs: number, check: () => void): void {
    const untilMs = nowMs + forMs;
    while (nowMs < untilMs) {
      nowMs += STEP_MS;
      queue.runDue(nowMs);
      for (const node of [...nodes.values()]) {
        feed(node, {kind: 'tick'});
        if (random() < 0.7) readLog(node);
      }
      check();
    }
  }

  for (const address of addresses) restart(address);
  return {
    addresses,
    log,
    network,
    random,
    nowMs: () => nowMs,
    node: address => nodes.get(address)!,
    restart,
    run,
  };
}
