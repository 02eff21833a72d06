import type {Configuration} from '../configuration/configuration.js';
import type {GatewayAction} from '../gateway/actions/gateway_action.js';
import type {SendPeers} from '../gateway/actions/send_peers.js';
import type {GatewayEvent} from '../gateway/events/gateway_event.js';
import type {RequestArrived} from '../gateway/events/request_arrived.js';
import {createGatewayNode, type GatewayNode} from '../gateway/gateway_node.js';
import type {FleetEndpoints} from './fleet_endpoints.js';
import {createFleetEngines, type FleetEngines} from './fleet_engines.js';
import {createFleetRequests} from './fleet_requests.js';
import {createFleetStore, type FleetStore} from './fleet_store.js';
import type {FleetRequest} from './fleet_request.js';
import type {GatewayFleetConfig} from './gateway_fleet_config.js';
import {requestArrived} from './gateway_harness.js';
import {configuration, gatewayConfig} from './gateway_parts.js';
import {createTestRandom} from './step_harness.js';
import {createVirtualTimeline} from './virtual_timeline.js';

const TICK_MS = 25;
const STORE_MS = 4;
/** A call during an outage gets no answer. */
const LOST_CALL_MS = 900;
const FAILURE_DOMAINS = 3;
/** Wall clock of the start of a test. */
const EPOCH_MS = 1.7e12;

/** Gateways, engines and a store on one virtual clock. */
export interface GatewayFleet {
  readonly engines: FleetEngines;
  readonly store: FleetStore;
  readonly requests: FleetRequest[];
  nowMs(): number;
  run(ms: number): void;
  /** Sends a request to one gateway. */
  send(gateway: number, over?: Partial<RequestArrived>): FleetRequest;
  /** Cuts a gateway off from all others and the store, or ends the cut. */
  cut(gateway: number, isCut: boolean): void;
  /** Peer address of a gateway. */
  addressOf(gateway: number): string;
  /** Ends a process and starts another; its requests are lost. */
  restart(gateway: number): void;
  /** Feeds an event to a gateway. */
  feed(gateway: number, event: GatewayEvent): void;
  /** Ids of the endpoints that a gateway uses, sorted. */
  usedBy(gateway: number): string[];
  /** Log events that the gateways wrote, with their fields. */
  logged(event: string): Record<string, unknown>[];
}

interface Gateway {
  address: string;
  incarnation: number;
  node: GatewayNode;
  cut: boolean;
}

function domainOf(index: number): string {
  return `domain-${index % FAILURE_DOMAINS}`;
}

/** Creates a fleet whose gateways have read the store and know each other. */
export function createGatewayFleet(cfg: GatewayFleetConfig): GatewayFleet {
  const timeline = createVirtualTimeline(1_000);
  const random = createTestRandom(cfg.seed);
  const engines = createFleetEngines({
    count: cfg.engines,
    timeline,
    random,
    coldMs: cfg.coldMs ?? 0,
    domainOf: i => (cfg.spreadEngines ? domainOf(i) : 'amman-1'),
    keepIds: cfg.keepEngineIds ?? false,
    endsAfter: cfg.endsAfter ?? 'head',
    registryChanged: () => store.registryChanged(),
  });
  const endpoints: FleetEndpoints =
    cfg.createEndpoints?.(timeline, random, () => store.registryChanged()) ??
    engines;
  const store = createFleetStore(endpoints.entries, published());
  const requests = createFleetRequests(timeline.nowMs);
  const log: {event: string; fields: Record<string, unknown>}[] = [];
  const gateways = Array.from({length: cfg.gateways}, (_, i) => start(i, 1));
  const byAddress = new Map(
    gateways.map(gateway => [gateway.address, gateway]),
  );

  function published(): Configuration {
    if (cfg.configuration) return cfg.configuration;
    const {services, ...rest} = configuration();
    const warmUpPerSecond = cfg.coldPerSecond ?? 0;
    return {
      ...rest,
      services: services.map(spec => ({...spec, warmUpPerSecond})),
    };
  }

  function start(index: number, incarnation: number): Gateway {
    const address = `10.0.${Math.floor(index / 200)}.${(index % 200) + 1}:7000`;
    const created = createGatewayNode(
      gatewayConfig({
        address,
        incarnation,
        failureDomain: domainOf(index),
        seeds: ['10.0.0.1:7000', '10.0.0.2:7000'],
      }),
    );
    const node = cfg.wrapNode?.(created) ?? created;
    return {address, incarnation, node, cut: false};
  }

  function feed(gateway: Gateway, event: GatewayEvent): void {
    const {node} = gateway;
    const nowMs = timeline.nowMs();
    const wallMs = EPOCH_MS + nowMs;
    for (const action of node.step({event, nowMs, wallMs, random})) {
      perform(gateway, action);
    }
  }

  /** Delivers an event, unless the process has ended by then. */
  function later(gateway: Gateway, delayMs: number, event: GatewayEvent): void {
    const {node} = gateway;
    timeline.after(delayMs, () => {
      if (gateway.node === node) feed(gateway, event);
    });
  }

  function perform(gateway: Gateway, action: GatewayAction): void {
    switch (action.kind) {
      case 'start_attempt':
        return startAttempt(gateway, action);
      case 'cancel_attempt':
        return endpoints.cancel(gateway.address, action);
      case 'send_peers':
        return sendPeers(gateway, action);
      case 'announce_member':
        return later(gateway, STORE_MS, store.announce(action.record));
      case 'read_store':
        return later(
          gateway,
          store.reachable && !gateway.cut ? STORE_MS : LOST_CALL_MS,
          gateway.cut
            ? {kind: 'store_failed', call: action.call, failure: 'unavailable'}
            : store.read(action),
        );
      case 'save_quarantine':
        if (!gateway.cut) later(gateway, STORE_MS, store.save(action.entry));
        return;
      case 'write_log':
        log.push({event: action.event, fields: action.fields});
        return;
      case 'order_memory':
        return endpoints.order?.(action, event => later(gateway, 0, event));
      default:
        return requests.answered(gateway.address, action);
    }
  }

  function startAttempt(
    gateway: Gateway,
    action: Extract<GatewayAction, {kind: 'start_attempt'}>,
  ): void {
    const req = requests.of(gateway.address, action.reqId);
    if (req) req.attempts += 1;
    const {node, address} = gateway;
    const {parts = [], digest = ''} = req ?? {};
    endpoints.take(address, action, {parts, digest}, event => {
      if (gateway.node === node) feed(gateway, event);
    });
  }

  function sendPeers(from: Gateway, {to, message}: SendPeers): void {
    const {address, incarnation} = from;
    const event = {kind: 'peer_received', from: address, incarnation, message};
    for (const target of to) {
      const gateway = byAddress.get(target);
      const lost = random() < (cfg.loss ?? 0);
      if (!gateway || gateway.cut || from.cut || lost) continue;
      later(gateway, 1 + random() * 5, event as GatewayEvent);
      if (random() < (cfg.repeats ?? 0)) {
        later(gateway, 200 + random() * 800, event as GatewayEvent);
      }
    }
  }

  function tick(gateway: Gateway): void {
    feed(gateway, {kind: 'tick'});
    timeline.after(TICK_MS, () => tick(gateway));
  }

  function send(
    index: number,
    over: Partial<RequestArrived> = {},
  ): FleetRequest {
    const gateway = gateways[index]!;
    const reqId = `r${requests.all.length + 1}`;
    const event = requestArrived({reqId, ...over});
    const req = requests.add(gateway.address, event);
    feed(gateway, event);
    return req;
  }

  function restart(index: number): void {
    const gateway = gateways[index]!;
    const {node, incarnation} = start(index, gateway.incarnation + 1);
    gateway.node = node;
    gateway.incarnation = incarnation;
    requests.lost(gateway.address);
  }

  gateways.forEach((gateway, i) => {
    timeline.after((i * TICK_MS) / cfg.gateways, () => tick(gateway));
  });
  const run = (ms: number): void => timeline.runUntil(timeline.nowMs() + ms);
  run(4_000);

  return {
    engines,
    store,
    requests: requests.all,
    nowMs: timeline.nowMs,
    run,
    send,
    cut: (index, isCut) => {
      gateways[index]!.cut = isCut;
    },
    addressOf: index => gateways[index]!.address,
    restart,
    feed: (index, event) => feed(gateways[index]!, event),
    usedBy: index => {
      const {endpoints} = gateways[index]!.node.status(timeline.nowMs());
      return endpoints
        .filter(({standing}) => standing === 'ready' || standing === 'missing')
        .map(({id}) => id)
        .sort();
    },
    logged: wanted =>
      log.filter(({event}) => event === wanted).map(({fields}) => fields),
  };
}
