/**
 * State of a registration. Endpoints that are `ready` or `missing` may take new
 * work: a missing one was dropped by a store that has just recovered, which may
 * have lost live endpoints. `unreadable` means that the current record does not
 * describe a valid endpoint.
 */
export type RegistrationState =
  'ready' | 'missing' | 'leaving' | 'gone' | 'unreadable';
