import type {CallerLimits} from '../../configuration/caller_limits.js';

/** Bounds what callers may send from now on. */
export interface ApplyLimits {
  kind: 'apply_limits';
  limits: CallerLimits;
}
