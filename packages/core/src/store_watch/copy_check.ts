import type {GatewayContext} from '../gateway/gateway_context.js';
import type {RegistrySummary} from '../registry/registry_summary.js';

/** Messages may overtake each other, so that a short difference is ordinary. */
const TOLERATED_MS = 750;

/** Compares this gateway's registry with that of the reader of the store. */
export interface CopyCheck {
  /**
   * Compares the summaries of two registries that hold the same records.
   * @returns whether the store must be read to find out which one is right
   */
  differs(
    ctx: GatewayContext,
    from: string,
    theirs: RegistrySummary,
    own: RegistrySummary,
  ): boolean;
}

/** Creates a check that has seen no difference. */
export function createCopyCheck(): CopyCheck {
  let sinceMs: number | undefined;

  function report(
    ctx: GatewayContext,
    reader: string,
    theirs: RegistrySummary,
    own: RegistrySummary,
  ): void {
    const fields = {
      reader,
      endpoints: own.endpoints,
      readerEndpoints: theirs.endpoints,
    };
    ctx.emit({kind: 'write_log', event: 'WL8005', fields});
    const metric = 'registry_repairs_total';
    ctx.emit({kind: 'observe', metric, labels: {}, value: 1});
  }

  return {
    differs: (ctx, from, theirs, own) => {
      const equal =
        theirs.endpoints === own.endpoints &&
        theirs.startSumMs === own.startSumMs;
      if (equal) {
        sinceMs = undefined;
        return false;
      }
      sinceMs ??= ctx.nowMs;
      if (ctx.nowMs - sinceMs < TOLERATED_MS) return false;
      sinceMs = ctx.nowMs;
      report(ctx, from, theirs, own);
      return true;
    },
  };
}
