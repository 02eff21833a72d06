import type {LeaseRecord} from './lease_record.js';

/** Parses the JSON text of a record; undefined if it is malformed. */
export function parseLeaseRecord(data: string): LeaseRecord | undefined {
  let value: unknown;
  try {
    value = JSON.parse(data);
  } catch {
    return undefined;
  }
  return isLeaseRecord(value) ? value : undefined;
}

function isLeaseRecord(value: unknown): value is LeaseRecord {
  if (typeof value !== 'object' || value === null) return false;
  const fields = value as Record<string, unknown>;
  const {type, id, holder, base, durationMs, token} = fields;
  if (typeof id !== 'string' || typeof holder !== 'string') return false;
  if (!Number.isInteger(base)) return false;
  switch (type) {
    case 'acquire':
      return isDuration(durationMs);
    case 'renew':
      return isDuration(durationMs) && Number.isInteger(token);
    case 'release':
      return Number.isInteger(token);
    default:
      return false;
  }
}

function isDuration(value: unknown): boolean {
  return typeof value === 'number' && value > 0 && Number.isFinite(value);
}
