import {Err, Ok, type Result} from '../shared/result.js';
import type {SnapshotRecord} from './snapshot_record.js';
import type {TableError} from './table_error.js';
import type {TableRecord} from './table_record.js';

/**
 * Parses the JSON text of a record. Checks only the structure that the fold
 * relies on, so that every reader reaches the same verdict.
 */
export function parseTableRecord(
  data: string,
): Result<TableRecord, TableError> {
  let value: unknown;
  try {
    value = JSON.parse(data);
  } catch {
    return Err('malformed_record');
  }
  if (!isObject(value)) return Err('malformed_record');
  if (value['type'] === 'edit' && isEdit(value)) {
    return Ok(value as unknown as TableRecord);
  }
  if (isSnapshot(value)) return Ok(value);
  return Err('malformed_record');
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

function isEdit(value: Record<string, unknown>): boolean {
  return (
    typeof value['editId'] === 'string' &&
    typeof value['author'] === 'string' &&
    Array.isArray(value['changes']) &&
    value['changes'].every(isChange)
  );
}

function isChange(value: unknown): boolean {
  if (!isObject(value)) return false;
  const {key, base, row} = value;
  if (typeof key !== 'string' || typeof base !== 'number') return false;
  if (row === null) return true;
  return isObject(row) && key === `${row['type']}/${row['name']}`;
}

/** Whether a value has the structure of a snapshot. */
export function isSnapshot(value: unknown): value is SnapshotRecord {
  return (
    isObject(value) &&
    value['type'] === 'snapshot' &&
    Number.isSafeInteger(value['next']) &&
    Array.isArray(value['rows']) &&
    Array.isArray(value['verdicts'])
  );
}
