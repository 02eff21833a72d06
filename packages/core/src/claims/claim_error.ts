/** Why a record of a claims stream was ignored. */
export type ClaimError = 'malformed_record';
