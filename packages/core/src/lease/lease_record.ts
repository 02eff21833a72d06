import type {AcquireRecord} from './acquire_record.js';
import type {ReleaseRecord} from './release_record.js';
import type {RenewRecord} from './renew_record.js';

/** A record of the `lease` stream. */
export type LeaseRecord = AcquireRecord | RenewRecord | ReleaseRecord;
