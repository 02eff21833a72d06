import type {AliveMembers} from '../membership/alive_members.js';
import type {RouterAction} from '../router/actions/router_action.js';
import type {RouterEvent} from '../router/events/router_event.js';
import type {PeerMessage} from '../router/messages/peer_message.js';
import {createRouterNode} from '../router/router_node.js';
import {answerAttempt} from './fleet_endpoint.js';
import type {FleetRequest} from './fleet_journal.js';
import {createFleetLogLink} from './fleet_log_link.js';
import type {FleetEnvironment} from './fleet_environment.js';
import {routerConfig} from './router_events.js';

const WALL_START_MS = 1.7e12;

/** One process of a router; a restart creates another node. */
export interface FleetNode {
  readonly incarnation: number;
  running(): boolean;
  /** Feeds an event now, or once the node is no longer paused. */
  deliver(event: RouterEvent): void;
  pause(durationMs: number): void;
  crash(): void;
  /** Time at which the newest pause ends. */
  pausedUntilMs(): number;
}

/** Dependencies and settings of a node. */
export interface FleetNodeParts {
  env: FleetEnvironment;
  address: string;
  incarnation: number;
  alive(): string[];
  /** Offset of the node's wall clock from the true time. */
  wallSkewMs: number;
  tickMs: number;
  sendPeer(to: string, incarnation: number, message: PeerMessage): void;
  /** Called when the router's process exits by itself. */
  onExit(): void;
}

/** Creates a running node. */
export function createFleetNode(parts: FleetNodeParts): FleetNode {
  const {env, address, incarnation} = parts;
  const {clock, journal} = env;
  const members: AliveMembers = {
    self: address,
    alive: parts.alive,
    incarnation: () => undefined,
  };
  const cfg = routerConfig({
    address,
    incarnation,
    clockToleranceMs: 200,
    drainNoticeMs: 100,
  });
  const node = createRouterNode(cfg, members);
  const link = createFleetLogLink(env, deliver);
  let running = true;
  let pausedUntilMs = 0;
  let inbox: RouterEvent[] = [];

  function deliver(event: RouterEvent): void {
    if (!running) return;
    if (clock.nowMs() < pausedUntilMs) inbox.push(event);
    else step(event);
  }

  function step(event: RouterEvent): void {
    if (event.kind === 'request_arrived') {
      const request = journal.requests.get(event.reqId);
      if (request) request.admitted = true;
    }
    const nowMs = clock.nowMs();
    const wallMs = WALL_START_MS + nowMs + parts.wallSkewMs;
    const input = {event, nowMs, wallMs, random: env.random};
    for (const action of node.step(input)) perform(action);
  }

  function perform(action: RouterAction): void {
    switch (action.kind) {
      case 'append':
        return link.append(action);
      case 'tail':
        return link.tail(action.stream, action.from);
      case 'stop_tail':
        return link.stopTail(action.stream);
      case 'observe':
        if (action.metric !== 'claim_wait_ms') return;
        journal.verdictMs.push(action.value);
        return;
      case 'send_peer':
        journal.peerMessages += 1;
        return parts.sendPeer(action.to, incarnation, action.message);
      case 'start_attempt':
        return answerAttempt(env, action, deliver);
      case 'finish': {
        const request = journal.requests.get(action.reqId);
        if (!request) return;
        request.outcome = action.outcome;
        request.endedMs = clock.nowMs();
        return;
      }
      case 'exit':
        stop();
        return parts.onExit();
    }
  }

  function stop(): void {
    running = false;
    link.close();
  }

  function crash(): void {
    stop();
    for (const request of openRequests()) request.crashed = true;
  }

  function openRequests(): FleetRequest[] {
    return [...journal.requests.values()].filter(
      request => request.node === address && !request.outcome,
    );
  }

  function pause(durationMs: number): void {
    if (clock.nowMs() < pausedUntilMs) return;
    pausedUntilMs = clock.nowMs() + durationMs;
    for (const request of openRequests()) {
      request.dueMs = Math.max(request.dueMs, pausedUntilMs);
    }
    clock.after(durationMs, () => {
      const waiting = inbox;
      inbox = [];
      for (const event of waiting) deliver(event);
    });
  }

  function tick(): void {
    if (!running) return;
    if (clock.nowMs() >= pausedUntilMs) step({kind: 'tick'});
    clock.after(parts.tickMs, tick);
  }

  clock.after(0, tick);
  return {
    incarnation,
    running: () => running,
    deliver,
    pause,
    crash,
    pausedUntilMs: () => pausedUntilMs,
  };
}
