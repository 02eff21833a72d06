import type {ApiErrorCode} from './api_error_code.js';

/** Error response; `message` says what happened and what to do. */
export interface ApiError {
  code: ApiErrorCode;
  message: string;
  /** Additional members of the response body, for example `faults`. */
  details?: Record<string, unknown>;
  /** Overrides the default status of the code. */
  status?: number;
}
