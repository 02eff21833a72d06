import {Err} from '../shared/result.js';
import type {ClaimListener} from './claim_listener.js';
import type {Claims} from './claims.js';

/** Refuses every claim; stands in where there is no log. */
export function createNoClaims(listener: ClaimListener): Claims {
  return {
    checkKey: () => Err('log_unavailable'),
    request: (ctx, claim) =>
      listener.refused(ctx, claim.reqId, 'log_unavailable'),
    ended: () => undefined,
  };
}
