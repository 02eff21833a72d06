import {Ok} from '../shared/result.js';
import type {CustomerLimits} from './customer_limits.js';

/** Limits that admit everything. */
export function createUnlimited(): CustomerLimits {
  return {admit: () => Ok(undefined), release: () => undefined};
}
