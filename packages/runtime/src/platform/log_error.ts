/**
 * Errors of the log service. `not_appended`: the record is certainly not in
 * the log. `unknown`: the response was lost, so the record may be in the log.
 * `unavailable`: a read failed.
 */
export type LogServiceError = 'not_appended' | 'unknown' | 'unavailable';
