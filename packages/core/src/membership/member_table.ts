import type {MemberUpdate} from '../router/messages/member_update.js';
import type {RouterContext} from '../router/router_context.js';
import {isNewer} from './is_newer.js';
import type {Member} from './member.js';
import {logMemberChange} from './log_member_change.js';

/** A suspect is dead after this long times log10 of the group's size. */
const SUSPICION_MS = 5_000;
/** Longer than contact between regions is usually lost. */
const DEAD_RETENTION_MS = 600_000;
const SWEEP_INTERVAL_MS = 100;

/** Beliefs about every known router. */
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
  /** The member answered neither this router nor its helpers. */
  suspect(ctx: RouterContext, address: string): void;
  /** Turns overdue suspects into dead members and forgets old ones. */
  expire(ctx: RouterContext): void;
  /** Gives suspects more time, because this process was paused itself. */
  extendSuspicions(pausedMs: number): void;
}

/** Called for each change of belief, the own refutations included. */
export type MemberListener = (ctx: RouterContext, update: MemberUpdate) => void;

/** Creates a table that knows only the own router. */
export function createMemberTable(
  own: MemberUpdate,
  onChange: MemberListener,
): MemberTable {
  const members = new Map<string, Member>();
  /** Suspect and dead members. */
  const timed = new Set<Member>();
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
      if (!known || isNewer(update, known.update)) set(ctx, update);
      return;
    }
    // Nodes forget a dead member at different times; taking one over would
    // keep it in circulation for ever.
    if (!known || known.update.status === 'dead') return;
    // The member may not have had the chance to refute, for example after a
    // partition; it gets the full suspicion time here as well.
    const doubt: MemberUpdate = {...update, status: 'suspect'};
    if (isNewer(doubt, known.update)) set(ctx, doubt);
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

  function set(
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
    member.dueMs = ctx.nowMs + retentionMs(update);
    members.set(update.address, member);
    if (update.status === 'alive') timed.delete(member);
    else timed.add(member);
    forgetCaches();
    onChange(ctx, update);
  }

  function forgetCaches(): void {
    aliveCache = undefined;
    addressCache = undefined;
  }

  function retentionMs(update: MemberUpdate): number {
    if (update.status === 'dead') return DEAD_RETENTION_MS;
    const size = aliveOthers().length + 1;
    return SUSPICION_MS * Math.max(1, Math.log10(size));
  }

  function suspect(ctx: RouterContext, address: string): void {
    const member = members.get(address);
    if (member?.update.status !== 'alive') return;
    set(ctx, {...member.update, status: 'suspect'}, true);
  }

  function expire(ctx: RouterContext): void {
    if (timed.size === 0 || ctx.nowMs < nextSweepMs) return;
    nextSweepMs = ctx.nowMs + SWEEP_INTERVAL_MS;
    for (const member of [...timed]) {
      if (member.dueMs > ctx.nowMs) continue;
      if (member.update.status === 'suspect') {
        set(ctx, {...member.update, status: 'dead'});
      } else {
        timed.delete(member);
        members.delete(member.update.address);
      }
    }
  }

  function extendSuspicions(pausedMs: number): void {
    for (const member of timed) member.dueMs += pausedMs;
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
