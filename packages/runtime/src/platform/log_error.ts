/**
 * Errors of the log service. `not_appended`: the record is certainly not in
 * the log. `unknown`: the answer was lost. `unavailable`: a read failed.
 */
export type LogServiceError = 'not_appended' | 'unknown' | 'unavailable';
