import {Err, Ok, type Result} from '../shared/result.js';
import type {OutcomeCode} from '../types/outcome_code.js';
import type {ClaimsConfig} from './claims_config.js';
import {uuidV7TimeMs} from './uuid_v7_time_ms.js';

/** Validates the format and the age of an idempotency key. */
export function checkKey(
  cfg: ClaimsConfig,
  key: string,
  wallMs: number,
): Result<void, OutcomeCode> {
  if (key === '') return Err('key_missing');
  const timeMs = uuidV7TimeMs(key);
  if (timeMs === undefined) return Err('key_invalid');
  if (timeMs - wallMs > cfg.clockToleranceMs) return Err('key_invalid');
  if (wallMs - timeMs > cfg.keyMaxAgeMs) return Err('key_expired');
  return Ok(undefined);
}
