import type {LeaseRecord} from './lease_record.js';

/**
 * What the log's order decides about a record. `unsure`: the reader lacks an
 * older record that decides, because retention has passed.
 */
export interface LeaseVerdict {
  offset: number;
  /** Undefined if the record is malformed. */
  record: LeaseRecord | undefined;
  state: 'valid' | 'invalid' | 'unsure';
}
