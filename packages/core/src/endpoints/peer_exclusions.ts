import type {RouterContext} from '../router/router_context.js';

/** Load reports lag: one read within this time may predate the failure. */
const REPORT_LAG_MS = 1_000;
/** While failures last, routers repeat their notices within this time. */
const FAILURE_EXCLUSION_MS = 16_000;

/** Endpoints excluded by notices of peers; newer own observations overrule. */
export interface PeerExclusions {
  failed(ctx: RouterContext, endpoint: string): void;
  /** False if a withdrawal by this or a later table is known. */
  withdrawn(endpoint: string, tableNext: number): boolean;
  reported(ctx: RouterContext, endpoint: string): void;
  /** The own table has advanced, which overrules older withdrawals. */
  tableRead(tableNext: number): void;
  blocks(endpoint: string, nowMs: number): boolean;
}

/** Creates an empty set of exclusions. */
export function createPeerExclusions(): PeerExclusions {
  const failedSinceMs = new Map<string, number>();
  const withdrawnNext = new Map<string, number>();
  let ownTableNext = 0;

  return {
    failed: (ctx, endpoint) => failedSinceMs.set(endpoint, ctx.nowMs),
    withdrawn: (endpoint, tableNext) => {
      const known = withdrawnNext.get(endpoint) ?? 0;
      if (tableNext <= Math.max(known, ownTableNext)) return false;
      withdrawnNext.set(endpoint, tableNext);
      return true;
    },
    reported: (ctx, endpoint) => {
      const since = failedSinceMs.get(endpoint);
      if (since !== undefined && ctx.nowMs - since >= REPORT_LAG_MS) {
        failedSinceMs.delete(endpoint);
      }
    },
    tableRead: tableNext => {
      ownTableNext = tableNext;
      for (const [endpoint, next] of withdrawnNext) {
        if (next <= tableNext) withdrawnNext.delete(endpoint);
      }
    },
    blocks: (endpoint, nowMs) => {
      const since = failedSinceMs.get(endpoint);
      const failed =
        since !== undefined && nowMs - since < FAILURE_EXCLUSION_MS;
      return failed || withdrawnNext.has(endpoint);
    },
  };
}
