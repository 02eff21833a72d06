import {Err, Ok, type Result} from '../shared/result.js';
import type {ClaimBatch} from './claim_batch.js';
import type {ClaimError} from './claim_error.js';
import {claimKeyTimeMs} from './claim_key.js';

const OUTCOMES: unknown[] = ['completed', 'unknown', 'not_run'];

/**
 * Parses the JSON text of a record. A batch is accepted or ignored as a whole,
 * so that every reader reaches the same verdicts.
 */
export function parseClaimBatch(data: string): Result<ClaimBatch, ClaimError> {
  let value: unknown;
  try {
    value = JSON.parse(data);
  } catch {
    return Err('malformed_record');
  }
  return isBatch(value) ? Ok(value) : Err('malformed_record');
}

function isBatch(value: unknown): value is ClaimBatch {
  return (
    isObject(value) &&
    value['type'] === 'claims' &&
    typeof value['wallMs'] === 'number' &&
    typeof value['base'] === 'number' &&
    Array.isArray(value['entries']) &&
    value['entries'].every(isEntry)
  );
}

function isEntry(value: unknown): boolean {
  if (!isObject(value)) return false;
  const {type, claimId, key, timeoutMs, outcome} = value;
  if (typeof claimId !== 'string' || typeof key !== 'string') return false;
  if (claimKeyTimeMs(key) === undefined) return false;
  if (type === 'claim') return typeof timeoutMs === 'number';
  return type === 'outcome' && OUTCOMES.includes(outcome);
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}
