import type {LeaseRecord} from './lease_record.js';

/**
 * Validity of a record by the order of the log. `unsure`: it depends on an
 * older record that passed out of retention before it was read.
 */
export interface LeaseVerdict {
  offset: number;
  /** Undefined if the record is malformed. */
  record: LeaseRecord | undefined;
  state: 'valid' | 'invalid' | 'unsure';
}
