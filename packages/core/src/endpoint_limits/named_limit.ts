/**
 * Requests a second that an endpoint takes from all gateways together. `none`:
 * it names no limit, which ends an earlier one. `unknown`: its words say
 * nothing of a limit.
 */
export type NamedLimit = number | 'none' | 'unknown';
