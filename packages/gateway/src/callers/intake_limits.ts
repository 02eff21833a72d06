import type {LingerLimits} from '@wisterialadder/runtime/http/linger_limits.js';

/** Limits on how callers send the bodies of their requests. */
export interface IntakeLimits {
  /** Slowest body that is read to its end. */
  minBytesPerS: number;
  linger: LingerLimits;
}
