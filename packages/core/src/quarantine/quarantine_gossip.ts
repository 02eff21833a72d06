import type {FleetMembers} from '../fleet/fleet_members.js';
import type {CrashNews} from '../fleet/messages/crash_news.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {QuarantineEntry} from './quarantine_entry.js';

/** Tells other gateways of ended engines and of their causes. */
export interface QuarantineGossip {
  /** Sends observations to all, or only to one gateway. */
  tell(
    ctx: GatewayContext,
    news: Partial<Omit<CrashNews, 'kind'>>,
    only?: string,
  ): void;
  /**
   * Sends verdicts to all, or only to one gateway.
   * @param saved whether the store holds all entries
   */
  tellVerdicts(
    ctx: GatewayContext,
    entries: QuarantineEntry[],
    saved: boolean,
    only?: string,
  ): void;
}

/** Creates the gossip. */
export function createQuarantineGossip(
  members: FleetMembers,
): QuarantineGossip {
  return {
    tell: (ctx, news, only) => {
      const to =
        only === undefined ? members.aliveAddresses(ctx.nowMs) : [only];
      if (to.length === 0) return;
      const nothing = {
        crashes: [],
        endedEngines: [],
        proven: [],
        trials: [],
        ended: [],
      };
      const message = {kind: 'crash_news', ...nothing, ...news} as const;
      ctx.emit({kind: 'send_peers', to, message});
    },
    tellVerdicts: (ctx, entries, saved, only) => {
      const to =
        only === undefined ? members.aliveAddresses(ctx.nowMs) : [only];
      if (to.length === 0 || entries.length === 0) return;
      const message = {kind: 'quarantine_news', entries, saved} as const;
      ctx.emit({kind: 'send_peers', to, message});
    },
  };
}
