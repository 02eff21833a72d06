import type {GatewayContext} from '../gateway/gateway_context.js';
import type {ChangeSource} from '../registry/change_source.js';
import {eraOf} from './store_offset.js';

/** The newest era of the store that this gateway has heard of. */
export interface StoreEra {
  /**
   * Records the era of an offset.
   * @returns whether the store was restored since the eras seen before
   */
  observe(ctx: GatewayContext, offset: number, source: ChangeSource): boolean;
  /** Whether an offset belongs to an era before the newest. */
  isOutdated(offset: number): boolean;
}

/** Creates the knowledge of a gateway that has heard of no era. */
export function createStoreEra(): StoreEra {
  let newest: number | undefined;

  function observe(
    ctx: GatewayContext,
    offset: number,
    source: ChangeSource,
  ): boolean {
    const era = eraOf(offset);
    const before = newest;
    if (before !== undefined && era <= before) return false;
    newest = era;
    if (before === undefined) return false;
    const fields = {era, before, source};
    ctx.emit({kind: 'write_log', event: 'WL8020', fields});
    const metric = 'store_restorations_total';
    ctx.emit({kind: 'observe', metric, labels: {}, value: 1});
    return true;
  }

  return {
    observe,
    isOutdated: offset => eraOf(offset) < (newest ?? 0),
  };
}
