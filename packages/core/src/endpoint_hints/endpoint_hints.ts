import type {NamedLimit} from '../endpoint_limits/named_limit.js';

/** What an answer says about its endpoint, apart from the request itself. */
export interface EndpointHints {
  /** Whether the endpoint is shutting down and must get no new work. */
  leaving: boolean;
  /**
   * Time for which the endpoint wants nothing from this gateway, in
   * milliseconds; undefined if it did not ask for a pause.
   */
  pauseMs: number | undefined;
  limit: NamedLimit;
}

/** Hints of an answer that says nothing about its endpoint. */
export const NO_HINTS: EndpointHints = {
  leaving: false,
  pauseMs: undefined,
  limit: 'unknown',
};

/** Whether an answer says anything about its endpoint. */
export function hasHints({leaving, pauseMs, limit}: EndpointHints): boolean {
  return leaving || pauseMs !== undefined || limit !== 'unknown';
}
