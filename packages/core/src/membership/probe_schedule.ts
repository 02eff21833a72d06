import type {RouterContext} from '../router/router_context.js';
import {shuffled} from '../shared/shuffled.js';
import type {Member} from './member.js';
import type {MemberTable} from './member_table.js';

/** Traffic between failure domains costs more than inside one. */
const PERIODS_PER_REMOTE_PROBE = 4;
/** A suspect elsewhere may mean that its whole failure domain is lost. */
const PERIODS_PER_REMOTE_PROBE_IN_DOUBT = 2;

/** Chooses whom to probe in each period; undefined if nobody is known. */
export type ProbeSchedule = (ctx: RouterContext) => Member | undefined;

/**
 * Creates a schedule that goes through the own failure domain and the others
 * in turn, each in an order shuffled anew for every round, so that the time
 * between two probes of a member is bounded.
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
    const doubt = table
      .aliveOthers()
      .some(m => m.update.status === 'suspect' && !isLocal(m));
    const periods = doubt
      ? PERIODS_PER_REMOTE_PROBE_IN_DOUBT
      : PERIODS_PER_REMOTE_PROBE;
    if (period % periods === 0) {
      return next(ctx, 'remote') ?? next(ctx, 'local');
    }
    return next(ctx, 'local') ?? next(ctx, 'remote');
  };
}
