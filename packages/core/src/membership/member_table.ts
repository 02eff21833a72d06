import type {MemberUpdate} from '../router/messages/member_update.js';
import type {RouterContext} from '../router/router_context.js';
import {isNewer} from './is_newer.js';
import type {Member} from './member.js';
import {logMemberChange} from './log_member_change.js';

/** A suspect is dead after this time multiplied by log10 of the group size. */
const SUSPICION_MS = 5_000;
/** Longer than the usual loss of contact between regions. */
const DEAD_RETENTION_MS = 600_000;
const SWEEP_INTERVAL_MS = 100;

/** Status of every known router. */
export interface MemberTable {
  self(): MemberUpdate;
  get(address: string): Member | undefined;
  /** Known members without the own address, dead ones included. */
  others(): Member[];
  /** Members believed alive, suspects included, without the own address. */
  aliveOthers(): readonly Member[];
  /** Addresses of members believed alive, the own one included. */
  alive(): readonly string[];
  apply(ctx: RouterContext, update: MemberUpdate): void;
  /** Suspects a member that answered neither this router nor its helpers. */
  suspect(ctx: RouterContext, address: string): void;
  /** Declares overdue suspects dead and removes old dead members. */
  expire(ctx: RouterContext): void;
  /** Gives suspects more time, because this process itself was paused. */
  extendSuspicions(pausedMs: number): void;
}

/** Called for each change of a member, own refutations included. */
export type MemberListener = (ctx: RouterContext, update: MemberUpdate) => void;

/** Creates a table that knows only the own router. */
export function createMemberTable(
  own: MemberUpdate,
  onChange: MemberListener,
): MemberTable {
  const members = new Map<string, Member>();
  /** Suspect and dead members. */
  const expiring = new Set<Member>();
  let self = own;
  let nextSweepMs = 0;
  let aliveCache: Member[] | undefined;
  let addressCache: string[] | undefined;

  function aliveOthers(): Member[] {
    aliveCache ??= [...members.values()].filter(
      member => member.update.status !== 'dead',
    );
    return aliveCache;
  }

  function alive(): string[] {
    addressCache ??= [
      self.address,
      ...aliveOthers().map(member => member.update.address),
    ];
    return addressCache;
  }

  function apply(ctx: RouterContext, update: MemberUpdate): void {
    if (update.address === self.address) return applyToSelf(ctx, update);
    const known = members.get(update.address);
    if (update.status !== 'dead') {
      if (!known || isNewer(update, known.update)) setMember(ctx, update);
      return;
    }
    // Nodes remove a dead member at different times; adding it again would
    // keep it in gossip forever.
    if (!known || known.update.status === 'dead') return;
    // The member may have been unable to refute, for example after a network
    // partition; it gets the full suspicion time here as well.
    const suspicion: MemberUpdate = {...update, status: 'suspect'};
    if (isNewer(suspicion, known.update)) setMember(ctx, suspicion);
  }

  function applyToSelf(ctx: RouterContext, update: MemberUpdate): void {
    if (update.incarnation > self.incarnation) {
      ctx.emit({
        kind: 'write_log',
        event: 'WL4005',
        fields: {own: self.incarnation, known: update.incarnation},
      });
      return;
    }
    const outdated =
      update.incarnation < self.incarnation ||
      update.refutation < self.refutation;
    if (outdated || update.status === 'alive') return;
    self = {...self, refutation: update.refutation + 1};
    ctx.emit({
      kind: 'write_log',
      event: 'WL4004',
      fields: {refuted: update.status, refutation: self.refutation},
    });
    onChange(ctx, self);
  }

  function setMember(
    ctx: RouterContext,
    update: MemberUpdate,
    suspectedHere = false,
  ): void {
    const before = members.get(update.address);
    const member: Member = before ?? {
      update,
      dueMs: 0,
      suspectedHere,
      checkedMs: Number.NEGATIVE_INFINITY,
      tableNext: 0,
    };
    logMemberChange(ctx, before?.update, update);
    member.update = update;
    member.suspectedHere = suspectedHere;
    member.dueMs = ctx.nowMs + stateTimeoutMs(update);
    members.set(update.address, member);
    if (update.status === 'alive') expiring.delete(member);
    else expiring.add(member);
    invalidateCaches();
    onChange(ctx, update);
  }

  function invalidateCaches(): void {
    aliveCache = undefined;
    addressCache = undefined;
  }

  function stateTimeoutMs(update: MemberUpdate): number {
    if (update.status === 'dead') return DEAD_RETENTION_MS;
    const size = aliveOthers().length + 1;
    return SUSPICION_MS * Math.max(1, Math.log10(size));
  }

  function suspect(ctx: RouterContext, address: string): void {
    const member = members.get(address);
    if (member?.update.status !== 'alive') return;
    setMember(ctx, {...member.update, status: 'suspect'}, true);
  }

  function expire(ctx: RouterContext): void {
    if (expiring.size === 0 || ctx.nowMs < nextSweepMs) return;
    nextSweepMs = ctx.nowMs + SWEEP_INTERVAL_MS;
    for (const member of [...expiring]) {
      if (member.dueMs > ctx.nowMs) continue;
      if (member.update.status === 'suspect') {
        setMember(ctx, {...member.update, status: 'dead'});
      } else {
        expiring.delete(member);
        members.delete(member.update.address);
      }
    }
  }

  function extendSuspicions(pausedMs: number): void {
    for (const member of expiring) member.dueMs += pausedMs;
  }

  return {
    self: () => self,
    get: address => members.get(address),
    others: () => [...members.values()],
    aliveOthers,
    alive,
    apply,
    suspect,
    expire,
    extendSuspicions,
  };
}
