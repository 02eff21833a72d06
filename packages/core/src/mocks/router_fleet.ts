import {rendezvousFirst} from '../shared/rendezvous.js';
import type {PeerMessage} from '../router/messages/peer_message.js';
import type {RouterEvent} from '../router/events/router_event.js';
import {noFaults} from './fleet_faults.js';
import {createFleetJournal} from './fleet_journal.js';
import {createFleetNode, type FleetNode} from './fleet_node.js';
import type {FleetEnvironment} from './fleet_environment.js';
import {createMemoryLog} from './memory_log.js';
import {requestArrived, tableRead} from './router_events.js';
import {classRow, customerRow, endpointRow} from './rows.js';
import {createTestRandom} from './step_harness.js';
import {uuidV7} from './uuid_v7.js';
import {createVirtualScheduler} from './virtual_scheduler.js';

/** Time from admission to the end of each request. */
export const FLEET_TIMEOUT_MS = 2_000;
const WALL_START_MS = 1.7e12;
/** Half of the tolerance, so that any two clocks differ by at most that. */
const MAX_SKEW_MS = 100;

/** Several routers on one virtual clock with a log, peers and endpoints. */
export interface RouterFleet {
  readonly env: FleetEnvironment;
  readonly addresses: string[];
  node(index: number): FleetNode;
  /** Replaces a stopped router by its next incarnation. */
  restart(index: number): void;
  /** Sets the members a router considers alive; itself is always added. */
  setAlive(index: number, addresses: string[]): void;
  /** A new idempotency key, created now by a client. */
  newKey(): string;
  /** Sends a non-idempotent request and returns its id. */
  request(index: number, key: string): string;
  /** Index of the recorder of a stream if all routers are alive. */
  recorderOf(stream: string): number;
}

/** Creates a fleet of running routers that have read the table. */
export function createRouterFleet(
  size: number,
  seed: number,
  tickMs = 25,
): RouterFleet {
  const random = createTestRandom(seed);
  const env: FleetEnvironment = {
    clock: createVirtualScheduler(),
    random,
    log: createMemoryLog(),
    faults: noFaults(),
    journal: createFleetJournal(),
  };
  const {clock, faults, journal} = env;
  const addresses = Array.from(
    {length: size},
    (_, index) => `127.0.0.1:${7_001 + index}`,
  );
  const alive = addresses.map(() => addresses);
  const skews = addresses.map(() => (2 * random() - 1) * MAX_SKEW_MS);
  const nodes: FleetNode[] = [];
  let keyCount = 0;
  let requestCount = 0;

  function start(index: number, incarnation: number): void {
    const address = addresses[index]!;
    nodes[index] = createFleetNode({
      env,
      address,
      incarnation,
      alive: () => alive[index]!,
      wallSkewMs: skews[index]!,
      tickMs,
      sendPeer: (to, from, message) => sendPeer(address, from, to, message),
      onExit: () => clock.after(100, () => restart(index)),
    });
  }

  function restart(index: number): void {
    const old = nodes[index]!;
    if (!old.running()) start(index, old.incarnation + 1);
  }

  function sendPeer(
    from: string,
    fromIncarnation: number,
    to: string,
    message: PeerMessage,
  ): void {
    const event: RouterEvent = {
      kind: 'peer_received',
      from,
      fromIncarnation,
      message,
    };
    const copies = random() < faults.repeatedMessages ? 2 : 1;
    for (let i = 0; i < copies; i++) {
      if (random() < faults.lostMessages) continue;
      clock.after(1 + random() * faults.peerLatencyMs, () =>
        nodes[addresses.indexOf(to)]?.deliver(event),
      );
    }
  }

  function request(index: number, key: string): string {
    const reqId = `req-${requestCount++}`;
    const node = nodes[index]!;
    if (!node.running()) return reqId;
    journal.requests.set(reqId, {
      reqId,
      key: key.toLowerCase(),
      node: addresses[index]!,
      dueMs: Math.max(clock.nowMs(), node.pausedUntilMs()) + FLEET_TIMEOUT_MS,
      outcome: undefined,
      endedMs: 0,
      crashed: false,
      admitted: false,
    });
    node.deliver(requestArrived({reqId, idempotencyKey: key}));
    return reqId;
  }

  env.log.append('table', tableRead(fleetRows()).records[0]!.data);
  addresses.forEach((_, index) => start(index, 1));
  clock.advance(100);
  return {
    env,
    addresses,
    node: index => nodes[index]!,
    restart,
    setAlive: (index, members) => {
      alive[index] = [...new Set([addresses[index]!, ...members])];
    },
    newKey: () => {
      const skewMs = (2 * random() - 1) * MAX_SKEW_MS;
      return uuidV7(WALL_START_MS + clock.nowMs() + skewMs, keyCount++);
    },
    request,
    recorderOf: stream =>
      addresses.indexOf(rendezvousFirst(stream, addresses)!),
  };
}

function fleetRows(): Parameters<typeof tableRead>[0] {
  const service = {kind: 'service', service: 'register'} as const;
  return [
    classRow({
      name: 'order',
      service: 'register',
      idempotent: false,
      timeoutMs: FLEET_TIMEOUT_MS,
    }),
    customerRow({classes: ['order']}),
    endpointRow({...service, name: 'register-1'}),
    endpointRow({...service, name: 'register-2'}),
  ];
}
