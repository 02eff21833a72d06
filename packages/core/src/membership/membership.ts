import type {EndpointGossip} from '../endpoints/endpoint_gossip.js';
import type {PeerReceived} from '../router/events/peer_received.js';
import type {MemberUpdate} from '../router/messages/member_update.js';
import type {RouterConfig} from '../router/router_config.js';
import type {RouterContext} from '../router/router_context.js';
import type {RouterFeature} from '../router/router_feature.js';
import type {AliveMembers} from './alive_members.js';
import {createContacts} from './contacts.js';
import {createGossipExchange} from './gossip_exchange.js';
import {createGossipPusher} from './gossip_pusher.js';
import {createGossipQueue} from './gossip_queue.js';
import type {MemberStatus} from './member_status.js';
import {createMemberTable} from './member_table.js';
import {createProber} from './prober.js';
import {createStateSync} from './state_sync.js';

/** If no step ran for this long, the process was paused. */
const PAUSE_THRESHOLD_MS = 1_000;

/** This router's view of the group of routers. */
export interface Membership extends AliveMembers, RouterFeature {
  /** Undefined if the address is unknown or was removed. */
  status(address: string): MemberStatus | undefined;
  /** Addresses of members believed dead and not removed yet. */
  dead(): string[];
  failureDomain(address: string): string | undefined;
  /**
   * Probes a member outside of the schedule; one that is wrongly believed dead
   * refutes that with its answer.
   */
  probeNow(ctx: RouterContext, address: string): void;
  /** Newest table offset that the member has announced. */
  tableNext(address: string): number | undefined;
}

/** Dependencies of the membership. */
export interface MembershipParts {
  cfg: RouterConfig;
  endpoints: EndpointGossip;
  /** Offset of the next table record this router expects. */
  tableNext(): number;
}

/** Creates a membership that knows only its seeds. */
export function createMembership(parts: MembershipParts): Membership {
  const {cfg, endpoints} = parts;
  const updates = createGossipQueue<MemberUpdate>();
  const own: MemberUpdate = {
    address: cfg.address,
    failureDomain: cfg.failureDomain,
    incarnation: cfg.incarnation,
    refutation: 0,
    status: 'alive',
  };
  const table = createMemberTable(own, (ctx, update) => {
    updates.put(ctx.nowMs, update.address, update);
    ctx.emit({
      kind: 'observe',
      metric: 'members_alive',
      labels: {},
      value: table.alive().length,
    });
  });
  const exchange = createGossipExchange({...parts, table, updates});
  const contacts = createContacts(table, cfg.peers);
  const prober = createProber(table, exchange);
  const sync = createStateSync({table, contacts, exchange, endpoints});
  const pusher = createGossipPusher(table, exchange, endpoints);
  let lastStepMs: number | undefined;

  function expire(ctx: RouterContext): void {
    const pausedMs = ctx.nowMs - (lastStepMs ?? ctx.nowMs);
    lastStepMs = ctx.nowMs;
    if (pausedMs >= PAUSE_THRESHOLD_MS) {
      // Answers may be queued unread, so missing ones are no sign of failure.
      table.extendSuspicions(pausedMs);
      prober.reset();
    }
    table.expire(ctx);
    prober.expire(ctx);
    sync.expire(ctx);
  }

  function received(ctx: RouterContext, event: PeerReceived): void {
    const {from, fromIncarnation, message} = event;
    if (!('gossip' in message)) return;
    const before = table.get(from)?.update.status;
    const current = exchange.read(ctx, from, fromIncarnation, message.gossip);
    const now = table.get(from)?.update.status;
    if (before !== 'alive' && now === 'alive') sync.memberReturned(ctx, from);
    switch (message.kind) {
      case 'probe':
        return ctx.emit({
          kind: 'send_peer',
          to: from,
          message: {
            kind: 'probe_ack',
            sequence: message.sequence,
            gossip: exchange.write(ctx, from, !current),
          },
        });
      case 'probe_ack':
        return current ? prober.ack(ctx, message) : undefined;
      case 'probe_request':
        return prober.request(ctx, from, message);
      case 'member_digest':
        return sync.digest(ctx, from, message);
      case 'member_list':
        return sync.list(ctx, from, message);
    }
  }

  return {
    self: cfg.address,
    alive: () => [...table.alive()],
    incarnation: address =>
      address === cfg.address
        ? cfg.incarnation
        : table.get(address)?.update.incarnation,
    status: address =>
      address === cfg.address ? 'alive' : table.get(address)?.update.status,
    dead: () =>
      table
        .others()
        .filter(({update}) => update.status === 'dead')
        .map(({update}) => update.address),
    failureDomain: address =>
      address === cfg.address
        ? cfg.failureDomain
        : table.get(address)?.update.failureDomain,
    probeNow: prober.probeNow,
    tableNext: address => table.get(address)?.tableNext,
    handlers: {
      peer_received: received,
      vm_list_read: (_ctx, event) => contacts.vmListRead(event.vms),
    },
    expire,
    settle: ctx => pusher.settle(ctx),
  };
}
