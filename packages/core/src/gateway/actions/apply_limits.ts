import type {CallerLimits} from '../../configuration/caller_limits.js';

/** Applies limits to callers' requests from now on. */
export interface ApplyLimits {
  kind: 'apply_limits';
  limits: CallerLimits;
}
