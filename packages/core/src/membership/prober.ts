import type {ProbeAck} from '../router/messages/probe_ack.js';
import type {ProbeRequest} from '../router/messages/probe_request.js';
import type {RouterContext} from '../router/router_context.js';
import {pick} from '../shared/pick.js';
import type {GossipExchange} from './gossip_exchange.js';
import type {MemberTable} from './member_table.js';
import {createProbeSchedule} from './probe_schedule.js';

const PERIOD_MS = 1_000;
/** Several times the round trip between failure domains, jitter included. */
const DIRECT_TIMEOUT_MS = 300;
const MIN_PROBE_NOW_INTERVAL_MS = 2_000;

/** Probes members, and relays probes for other routers. */
export interface Prober {
  expire(ctx: RouterContext): void;
  request(ctx: RouterContext, from: string, message: ProbeRequest): void;
  ack(ctx: RouterContext, message: ProbeAck): void;
  /** Probes a member that may be wrongly believed dead. */
  probeNow(ctx: RouterContext, address: string): void;
  /** Drops the current probe, because this process itself was paused. */
  reset(): void;
}

interface OpenProbe {
  target: string;
  incarnation: number;
  sequence: number;
  sentMs: number;
  helpersRequested: boolean;
}

interface Relay {
  origin: string;
  sequence: number;
  untilMs: number;
}

/** Creates a prober whose first period starts at a random time. */
export function createProber(
  table: MemberTable,
  exchange: GossipExchange,
): Prober {
  const schedule = createProbeSchedule(table);
  const relays = new Map<number, Relay>();
  let openProbe: OpenProbe | undefined;
  let sequence = 0;
  let nextPeriodMs: number | undefined;

  function sendProbe(ctx: RouterContext, to: string): number {
    sequence += 1;
    const gossip = exchange.write(ctx, to);
    ctx.emit({
      kind: 'send_peer',
      to,
      message: {kind: 'probe', sequence, gossip},
    });
    return sequence;
  }

  function expire(ctx: RouterContext): void {
    nextPeriodMs ??= ctx.nowMs + ctx.random() * PERIOD_MS;
    if (ctx.nowMs >= nextPeriodMs) {
      const earliestMs = ctx.nowMs + PERIOD_MS / 2;
      nextPeriodMs = Math.max(nextPeriodMs + PERIOD_MS, earliestMs);
      startPeriod(ctx);
    } else if (openProbe && !openProbe.helpersRequested) {
      if (ctx.nowMs - openProbe.sentMs >= DIRECT_TIMEOUT_MS) {
        requestIndirectProbes(ctx, openProbe);
      }
    }
  }

  function startPeriod(ctx: RouterContext): void {
    if (openProbe && isSameIncarnation(openProbe)) {
      table.suspect(ctx, openProbe.target);
    }
    openProbe = undefined;
    for (const [number, relay] of relays) {
      if (relay.untilMs <= ctx.nowMs) relays.delete(number);
    }
    const member = schedule(ctx)?.update;
    const target = member?.address;
    if (member && target !== undefined) {
      const number = sendProbe(ctx, target);
      openProbe = {
        target,
        incarnation: member.incarnation,
        sequence: number,
        sentMs: ctx.nowMs,
        helpersRequested: false,
      };
    }
    const suspects = table
      .aliveOthers()
      .filter(m => m.suspectedHere && m.update.address !== target);
    const suspect = pick(suspects, ctx.random);
    if (suspect) sendProbe(ctx, suspect.update.address);
  }

  function isSameIncarnation(probe: OpenProbe): boolean {
    const known = table.get(probe.target)?.update.incarnation;
    return known === probe.incarnation;
  }

  /**
   * Asks one helper in the target's failure domain and one in a third domain,
   * if there are any, so that a broken path between two domains does not raise
   * a suspicion.
   */
  function requestIndirectProbes(ctx: RouterContext, probe: OpenProbe): void {
    probe.helpersRequested = true;
    const domain = table.get(probe.target)?.update.failureDomain;
    const helpers = table
      .aliveOthers()
      .filter(member => member.update.address !== probe.target);
    const sameDomain = helpers.filter(m => m.update.failureDomain === domain);
    const first = pick(
      sameDomain.length > 0 ? sameDomain : helpers,
      ctx.random,
    );
    const rest = helpers.filter(member => member !== first);
    const used = [domain, table.self().failureDomain];
    const otherDomains = rest.filter(
      m => !used.includes(m.update.failureDomain),
    );
    const second = pick(
      otherDomains.length > 0 ? otherDomains : rest,
      ctx.random,
    );
    for (const helper of [first, second]) {
      if (!helper) continue;
      const to = helper.update.address;
      const gossip = exchange.write(ctx, to);
      const {target, sequence: number} = probe;
      ctx.emit({
        kind: 'send_peer',
        to,
        message: {kind: 'probe_request', sequence: number, target, gossip},
      });
    }
  }

  function request(
    ctx: RouterContext,
    from: string,
    message: ProbeRequest,
  ): void {
    const number = sendProbe(ctx, message.target);
    relays.set(number, {
      origin: from,
      sequence: message.sequence,
      untilMs: ctx.nowMs + PERIOD_MS,
    });
  }

  function probeNow(ctx: RouterContext, address: string): void {
    const member = table.get(address);
    if (!member) return;
    if (ctx.nowMs - member.checkedMs < MIN_PROBE_NOW_INTERVAL_MS) return;
    member.checkedMs = ctx.nowMs;
    sendProbe(ctx, address);
  }

  function ack(ctx: RouterContext, message: ProbeAck): void {
    if (openProbe?.sequence === message.sequence) openProbe = undefined;
    const relay = relays.get(message.sequence);
    if (!relay) return;
    relays.delete(message.sequence);
    const to = relay.origin;
    const gossip = exchange.write(ctx, to);
    ctx.emit({
      kind: 'send_peer',
      to,
      message: {kind: 'probe_ack', sequence: relay.sequence, gossip},
    });
  }

  return {
    expire,
    request,
    ack,
    probeNow,
    reset: () => {
      openProbe = undefined;
    },
  };
}
