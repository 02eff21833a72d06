import type {LogRead} from '../router/events/log_read.js';
import type {LeaseRecord} from './lease_record.js';
import type {LeaseVerdict} from './lease_verdict.js';
import {parseLeaseRecord} from './parse_lease_record.js';

/** The lease as the log's order defines it. */
export interface LeaseFold {
  /** Offset of the next record expected. */
  next(): number;
  /** Whether nobody holds the lease, as far as records can say. */
  free(): boolean;
  /** Judges the records of a read. */
  read(event: LogRead): LeaseRead;
}

/** What a read changed. */
export interface LeaseRead {
  /** Records were missed because they had passed out of retention. */
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
 * record is unknown, but `bound` still limits its offset from above: a record
 * with a base at or beyond the bound is valid whatever was missed, and ends
 * the uncertainty.
 */
export function createLeaseFold(): LeaseFold {
  let next = 0;
  let certain = true;
  let latest: LatestRecord | undefined;
  /** Largest offset that a valid record read so far can have. */
  let bound = -1;

  function read(event: LogRead): LeaseRead {
    const gap = event.earliest > next;
    if (gap) {
      next = event.earliest;
      bound = next - 1;
      certain = false;
      latest = undefined;
    }
    const verdicts: LeaseVerdict[] = [];
    for (const {offset, data} of event.records) {
      if (offset < next) continue;
      const record = parseLeaseRecord(data);
      const state = record ? judge(record, offset) : 'invalid';
      verdicts.push({offset, record, state});
      next = offset + 1;
    }
    return {gap, verdicts};
  }

  function judge(record: LeaseRecord, offset: number): LeaseVerdict['state'] {
    if (record.base >= offset) return 'invalid';
    if (record.base < bound) {
      if (certain) return 'invalid';
      bound = offset;
      return 'unsure';
    }
    if (certain && !follows(record)) return 'invalid';
    bound = offset;
    certain = true;
    const token = record.type === 'acquire' ? offset : record.token;
    latest = {type: record.type, token};
    return 'valid';
  }

  /** Only an acquire may follow the record of another lease. */
  function follows(record: LeaseRecord): boolean {
    if (record.type === 'acquire') return true;
    return latest?.token === record.token && latest.type !== 'release';
  }

  return {
    next: () => next,
    free: () => certain && (!latest || latest.type === 'release'),
    read,
  };
}
