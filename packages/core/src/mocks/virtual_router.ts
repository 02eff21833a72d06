import type {RouterAction} from '../router/actions/router_action.js';
import type {RouterEvent} from '../router/events/router_event.js';
import {createRouterNode} from '../router/router_node.js';
import type {DecisionNode} from '../types/decision_node.js';
import type {RandomSource} from '../types/random_source.js';
import {routerConfig} from './router_events.js';
import type {VirtualClock} from './virtual_clock.js';

const NEVER_MS = 10_000_000;

/** A router process that can crash, restart and be paused. */
export interface VirtualRouter {
  readonly address: string;
  readonly failureDomain: string;
  incarnation: number;
  running: boolean;
  paused: boolean;
  /** Monotonic time of the last start or the end of the last pause. */
  stableSinceMs: number;
  /** Members that the router has logged as alive. */
  alive: Set<string>;
  /** Endpoint of the current attempt of each request. */
  attempts: Map<string, string>;
  feed(event: RouterEvent): void;
  start(): void;
  crash(): void;
  pause(): void;
  resume(): void;
}

/** Dependencies and settings of a virtual router. */
export interface VirtualRouterParts {
  address: string;
  failureDomain: string;
  seeds: string[];
  clock: VirtualClock;
  random: RandomSource;
  perform(router: VirtualRouter, action: RouterAction): void;
  wrap(
    node: DecisionNode<RouterEvent, RouterAction>,
  ): DecisionNode<RouterEvent, RouterAction>;
}

/** Creates a process that has not started. */
export function createVirtualRouter(parts: VirtualRouterParts): VirtualRouter {
  const {address, failureDomain, clock, random} = parts;
  let node: DecisionNode<RouterEvent, RouterAction> | undefined;
  let inbox: RouterEvent[] = [];

  function feed(event: RouterEvent): void {
    if (!router.running || !node) return;
    if (router.paused) {
      if (event.kind !== 'tick') inbox.push(event);
      return;
    }
    const nowMs = clock.nowMs();
    const actions = node.step({event, nowMs, wallMs: nowMs, random});
    for (const action of actions) {
      if (action.kind === 'write_log') {
        recordMembership(action.event, action.fields);
      }
      parts.perform(router, action);
    }
  }

  function recordMembership(
    event: string,
    fields: Record<string, unknown>,
  ): void {
    const member = String(fields['member']);
    if (event === 'WL4001' || event === 'WL4002') router.alive.add(member);
    if (event === 'WL4003') router.alive.delete(member);
  }

  const router: VirtualRouter = {
    address,
    failureDomain,
    incarnation: 0,
    running: false,
    paused: false,
    stableSinceMs: 0,
    alive: new Set([address]),
    attempts: new Map(),
    feed,
    start: () => {
      router.running = true;
      router.incarnation = Math.ceil(clock.nowMs());
      router.stableSinceMs = clock.nowMs();
      const cfg = routerConfig({
        address,
        failureDomain,
        incarnation: router.incarnation,
        peers: parts.seeds,
        firstTokenTimeoutMs: NEVER_MS,
      });
      node = parts.wrap(createRouterNode(cfg));
    },
    crash: () => {
      router.running = false;
      router.paused = false;
      router.alive = new Set([address]);
      router.attempts.clear();
      inbox = [];
    },
    pause: () => {
      router.paused = true;
    },
    resume: () => {
      router.paused = false;
      router.stableSinceMs = clock.nowMs();
      const waiting = inbox;
      inbox = [];
      for (const event of waiting) feed(event);
    },
  };
  return router;
}
