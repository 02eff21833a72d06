import type {GatewayContext} from '../gateway/gateway_context.js';
import type {FleetMembers} from './fleet_members.js';
import type {FleetRelay} from './fleet_relay.js';
import type {MemberRecord} from './member_record.js';
import type {FleetDigest} from './messages/fleet_digest.js';
import type {WorkChanges} from './messages/work_changes.js';
import type {WorkUpdate} from './messages/work_update.js';
import type {RelayLink} from './relay_link.js';
import type {Work} from './work.js';
import type {WorkIndex} from './work_index.js';
import {toWorkNotice, fromWorkNotice} from './work_notices.js';

/**
 * Work with a prompt of this length is sent to all gateways directly, also in
 * a large fleet. Such prompts are few, and if two gateways send one each to
 * the same engines before they learn of each other's, they delay each other by
 * seconds.
 */
const LONG_PROMPT_TOKENS = 30_000;

/**
 * Sends changes in the work of this gateway to the others: directly in a small
 * fleet, through a relay in a large one.
 */
export interface WorkGossip {
  workStarted(work: Work): void;
  decodingStarted(work: number): void;
  workEnded(work: number): void;
  /** Sends the changes since the last call. */
  settle(ctx: GatewayContext): void;
  updateReceived(ctx: GatewayContext, from: string, update: WorkUpdate): void;
  digestReceived(ctx: GatewayContext, digest: FleetDigest): void;
}

/** Dependencies of the work gossip. */
export interface WorkGossipParts {
  self: MemberRecord;
  members: FleetMembers;
  workIndex: WorkIndex;
  link: RelayLink;
  relay: FleetRelay;
}

interface PendingChanges {
  started: Work[];
  writing: number[];
  ended: number[];
}

function noChanges(): PendingChanges {
  return {started: [], writing: [], ended: []};
}

/** Creates work gossip without pending changes. */
export function createWorkGossip(parts: WorkGossipParts): WorkGossip {
  const {self, members, workIndex, link, relay} = parts;
  let pending = noChanges();

  function settle(ctx: GatewayContext): void {
    const {started, writing, ended} = pending;
    if (started.length + writing.length + ended.length === 0) return;
    pending = noChanges();
    const {nowMs} = ctx;
    const notices = started.map(work => toWorkNotice(work, nowMs));
    const changes: WorkChanges = {started: notices, writing, ended};
    const hasLongPrompt = started.some(
      ({promptTokens}) => promptTokens >= LONG_PROMPT_TOKENS,
    );
    const relayAddress = hasLongPrompt ? undefined : link.relay(nowMs);
    if (relayAddress === self.address) {
      const {address: member, incarnation} = self;
      return relay.addLocalChanges({member, incarnation, ...changes});
    }
    const passOn = relayAddress !== undefined;
    if (passOn) link.sent(nowMs);
    const to = passOn ? [relayAddress] : members.aliveAddresses(nowMs);
    if (to.length === 0) return;
    const message: WorkUpdate = {kind: 'work_update', passOn, ...changes};
    ctx.emit({kind: 'send_peers', to, message});
  }

  function apply(
    ctx: GatewayContext,
    member: string,
    {started, writing, ended}: WorkChanges,
  ): void {
    for (const notice of started) {
      workIndex.add(fromWorkNotice(notice, member, ctx.nowMs));
    }
    for (const work of writing) workIndex.markDecoding(member, work);
    for (const work of ended) workIndex.remove(member, work);
  }

  function updateReceived(
    ctx: GatewayContext,
    from: string,
    update: WorkUpdate,
  ): void {
    apply(ctx, from, update);
    if (!update.passOn) return;
    const {started, writing, ended} = update;
    const incarnation = members.get(from)?.incarnation ?? 0;
    relay.addLocalChanges({member: from, incarnation, started, writing, ended});
  }

  function digestReceived(ctx: GatewayContext, {changes}: FleetDigest): void {
    for (const change of changes) {
      const {member, incarnation} = change;
      if (member === self.address) continue;
      const known = members.get(member)?.incarnation ?? 0;
      if (incarnation >= known) apply(ctx, member, change);
    }
  }

  return {
    settle,
    updateReceived,
    digestReceived,
    workStarted: work => {
      workIndex.add(work);
      pending.started.push(work);
    },
    decodingStarted: work => {
      workIndex.markDecoding(self.address, work);
      pending.writing.push(work);
    },
    workEnded: work => {
      workIndex.remove(self.address, work);
      pending.ended.push(work);
    },
  };
}
