import type {LogRead} from '../router/events/log_read.js';
import type {LeaseRecord} from './lease_record.js';
import type {LeaseVerdict} from './lease_verdict.js';
import {parseLeaseRecord} from './parse_lease_record.js';

/** State of the lease, folded from its records in log order. */
export interface LeaseFold {
  /** Offset of the next record expected. */
  nextOffset(): number;
  /** Whether the records show that nobody holds the lease. */
  isFree(): boolean;
  /** Decides which records of a read are valid. */
  read(event: LogRead): LeaseRead;
}

/** Result of a read. */
export interface LeaseRead {
  /** Whether records passed out of retention before they were read. */
  gap: boolean;
  verdicts: LeaseVerdict[];
}

/** Latest valid record. */
interface LatestRecord {
  type: LeaseRecord['type'];
  token: number;
}

/**
 * Creates a fold that expects the first record. A record is valid if no valid
 * record lies between its base and itself. After a gap the latest valid
 * record is unknown, but its offset is at most `maxValidOffset`: a record with
 * a base at or above that is valid whatever was missed, and ends the
 * uncertainty.
 */
export function createLeaseFold(): LeaseFold {
  let next = 0;
  let certain = true;
  let latest: LatestRecord | undefined;
  /** Largest offset that a valid record read so far can have. */
  let maxValidOffset = -1;

  function read(event: LogRead): LeaseRead {
    const gap = event.earliest > next;
    if (gap) {
      next = event.earliest;
      maxValidOffset = next - 1;
      certain = false;
      latest = undefined;
    }
    const verdicts: LeaseVerdict[] = [];
    for (const {offset, data} of event.records) {
      if (offset < next) continue;
      const record = parseLeaseRecord(data);
      const state = record ? classify(record, offset) : 'invalid';
      verdicts.push({offset, record, state});
      next = offset + 1;
    }
    return {gap, verdicts};
  }

  function classify(
    record: LeaseRecord,
    offset: number,
  ): LeaseVerdict['state'] {
    if (record.base >= offset) return 'invalid';
    if (record.base < maxValidOffset) {
      if (certain) return 'invalid';
      maxValidOffset = offset;
      return 'unsure';
    }
    if (certain && !continuesLease(record)) return 'invalid';
    maxValidOffset = offset;
    certain = true;
    const token = record.type === 'acquire' ? offset : record.token;
    latest = {type: record.type, token};
    return 'valid';
  }

  /** Renew and release records must continue the latest lease. */
  function continuesLease(record: LeaseRecord): boolean {
    if (record.type === 'acquire') return true;
    return latest?.token === record.token && latest.type !== 'release';
  }

  return {
    nextOffset: () => next,
    isFree: () => certain && (!latest || latest.type === 'release'),
    read,
  };
}
