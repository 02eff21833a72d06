import type {ApiErrorCode} from './api_error_code.js';

/** Refusal of a request: what happened and what to do. */
export interface ApiError {
  code: ApiErrorCode;
  message: string;
  /** Further members of the answer, for example `faults`. */
  details?: Record<string, unknown>;
  /** Status that differs from the usual one of the code. */
  status?: number;
}
