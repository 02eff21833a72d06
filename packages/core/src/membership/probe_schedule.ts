import type {RouterContext} from '../router/router_context.js';
import {shuffled} from '../shared/shuffled.js';
import type {Member} from './member.js';
import type {MemberTable} from './member_table.js';

/** Traffic between failure domains costs more than within one. */
const PERIODS_PER_REMOTE_PROBE = 4;
/** A suspect elsewhere may mean that its whole failure domain is lost. */
const PERIODS_PER_REMOTE_PROBE_ON_SUSPICION = 2;

/** Returns the member to probe in a period; undefined if none is known. */
export type ProbeSchedule = (ctx: RouterContext) => Member | undefined;

/**
 * Creates a schedule that goes through the own failure domain and through the
 * others in rounds, each in a new random order. Complete rounds bound the time
 * between two probes of a member.
 */
export function createProbeSchedule(table: MemberTable): ProbeSchedule {
  const rounds: Record<'local' | 'remote', string[]> = {local: [], remote: []};
  let period = 0;

  function isLocal(member: Member): boolean {
    return member.update.failureDomain === table.self().failureDomain;
  }

  function next(
    ctx: RouterContext,
    scope: 'local' | 'remote',
  ): Member | undefined {
    for (let address = rounds[scope].pop(); address !== undefined;) {
      const member = table.get(address);
      if (member && member.update.status !== 'dead') return member;
      address = rounds[scope].pop();
    }
    const addresses = table
      .aliveOthers()
      .filter(member => isLocal(member) === (scope === 'local'))
      .map(member => member.update.address);
    rounds[scope] = shuffled(addresses, ctx.random);
    const first = rounds[scope].pop();
    return first === undefined ? undefined : table.get(first);
  }

  return ctx => {
    period += 1;
    const remoteSuspect = table
      .aliveOthers()
      .some(m => m.update.status === 'suspect' && !isLocal(m));
    const periods = remoteSuspect
      ? PERIODS_PER_REMOTE_PROBE_ON_SUSPICION
      : PERIODS_PER_REMOTE_PROBE;
    if (period % periods === 0) {
      return next(ctx, 'remote') ?? next(ctx, 'local');
    }
    return next(ctx, 'local') ?? next(ctx, 'remote');
  };
}
