import type {RouterAction} from '../router/actions/router_action.js';
import type {SendPeer} from '../router/actions/send_peer.js';
import {createTestRandom} from './step_harness.js';
import {requestArrived, tableRead} from './router_events.js';
import {classRow, customerRow, endpointRow} from './rows.js';
import {createVirtualClock, type VirtualClock} from './virtual_clock.js';
import {createVirtualEngine, type VirtualEngine} from './virtual_engine.js';
import {createVirtualNetwork, type VirtualNetwork} from './member_network.js';
import {
  createVirtualRouter,
  type VirtualRouter,
  type VirtualRouterParts,
} from './virtual_router.js';

const DOMAINS = 3;
const REPORT_INTERVAL_MS = 1_000;
const NEVER_MS = 10_000_000;

/** Routers and engines in three failure domains. */
export interface VirtualFleet {
  clock: VirtualClock;
  network: VirtualNetwork;
  routers: VirtualRouter[];
  engines: VirtualEngine[];
  /** Feeds a new short request to a router. */
  request(router: VirtualRouter): void;
  /** Cancels a router's oldest request. */
  cancel(router: VirtualRouter): void;
  start(router: VirtualRouter): void;
}

/** Size and observers of a fleet. */
export interface VirtualFleetOptions {
  seed: number;
  routers: number;
  engines: number;
  tickMs?: number;
  /** Share of cancellations that do not reach the engine. */
  cancelLoss?: number;
  wrap?: VirtualRouterParts['wrap'];
  onSend?(action: SendPeer): void;
  onAttempt?(router: VirtualRouter, engine: VirtualEngine): void;
  onRelease?(
    router: VirtualRouter,
    engine: VirtualEngine,
    sessionId: string,
  ): void;
}

/** Creates a fleet; its routers start within the first second. */
export function createVirtualFleet(options: VirtualFleetOptions): VirtualFleet {
  const random = createTestRandom(options.seed);
  const clock = createVirtualClock();
  const network = createVirtualNetwork(clock, random);
  const {tickMs = 250, cancelLoss = 0.5, wrap = node => node} = options;
  const engines = Array.from({length: options.engines}, (_, i) =>
    createVirtualEngine(`engine-${i}`, `domain-${i % DOMAINS}`),
  );
  const rows = engines.map(({name, failureDomain}) =>
    endpointRow({name, failureDomain, url: `http://127.0.0.1/${name}`}),
  );
  const table = tableRead([
    classRow({timeoutMs: NEVER_MS}),
    customerRow(),
    ...rows,
  ]);
  const addresses = Array.from(
    {length: options.routers},
    (_, i) => `127.0.0.1:${7_001 + i}`,
  );
  const routers = addresses.map((address, i) =>
    createVirtualRouter({
      address,
      failureDomain: `domain-${i % DOMAINS}`,
      seeds: addresses.slice(0, 3),
      clock,
      random,
      perform,
      wrap,
    }),
  );
  const byAddress = new Map(routers.map(router => [router.address, router]));
  let requests = 0;

  function perform(router: VirtualRouter, action: RouterAction): void {
    if (action.kind === 'send_peer') return sendPeer(router, action);
    if (action.kind === 'start_attempt') {
      router.attempts.set(action.reqId, action.endpoint);
      sendToEngine(router, action.endpoint, engine => {
        engine.open(`${router.address}#${router.incarnation}`, action.reqId);
      });
      options.onAttempt?.(router, engineNamed(action.endpoint));
    } else if (action.kind === 'cancel_attempt') {
      const endpoint = router.attempts.get(action.reqId);
      router.attempts.delete(action.reqId);
      if (endpoint === undefined || random() < cancelLoss) return;
      sendToEngine(router, endpoint, engine => {
        for (const session of engine.sessions.values()) {
          if (session.reqId === action.reqId)
            engine.sessions.delete(session.id);
        }
      });
    } else if (action.kind === 'release_session') {
      sendToEngine(router, action.endpoint, engine => {
        if (!engine.sessions.has(action.sessionId)) return;
        options.onRelease?.(router, engine, action.sessionId);
        engine.sessions.delete(action.sessionId);
      });
    }
  }

  function sendPeer(router: VirtualRouter, action: SendPeer): void {
    options.onSend?.(action);
    const {address: from, incarnation: fromIncarnation} = router;
    const {message} = action;
    const kind = 'peer_received';
    network.send(from, action.to, () =>
      byAddress.get(action.to)?.feed({kind, from, fromIncarnation, message}),
    );
  }

  function engineNamed(name: string): VirtualEngine {
    return engines.find(engine => engine.name === name)!;
  }

  function sendToEngine(
    router: VirtualRouter,
    endpoint: string,
    deliver: (engine: VirtualEngine) => void,
  ): void {
    const engine = engineNamed(endpoint);
    network.send(router.address, engine.address, () => deliver(engine));
  }

  function start(router: VirtualRouter): void {
    router.start();
    router.feed(table);
    const {incarnation} = router;
    const isCurrent = () =>
      router.running && router.incarnation === incarnation;
    every(tickMs, isCurrent, () => router.feed({kind: 'tick'}));
    every(REPORT_INTERVAL_MS, isCurrent, () => {
      for (const engine of engines) readReport(router, engine);
    });
  }

  function every(ms: number, isActive: () => boolean, run: () => void): void {
    const next = () => {
      if (!isActive()) return;
      run();
      clock.at(clock.nowMs() + ms, next);
    };
    clock.at(clock.nowMs() + random() * ms, next);
  }

  function readReport(router: VirtualRouter, engine: VirtualEngine): void {
    const {reportsOnlyTo} = engine;
    if (router.paused) return;
    if (reportsOnlyTo !== '' && reportsOnlyTo !== router.address) return;
    const report = engine.report();
    network.send(engine.address, router.address, () => router.feed(report));
  }

  for (const router of routers) {
    clock.at(clock.nowMs() + random() * 1_000, () => start(router));
  }
  return {
    clock,
    network,
    routers,
    engines,
    request: router => {
      requests += 1;
      router.feed(requestArrived({reqId: `req-${requests}`}));
    },
    cancel: router => {
      const reqId = router.attempts.keys().next().value;
      if (reqId !== undefined) router.feed({kind: 'request_cancelled', reqId});
    },
    start,
  };
}
