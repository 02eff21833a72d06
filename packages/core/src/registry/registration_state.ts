/**
 * Whether an endpoint may take new work. `ready` and `missing` may: a missing
 * one was dropped by a store that has just come back, which forgets endpoints
 * that live. `unreadable` means that its record names no endpoint for now.
 */
export type RegistrationState =
  'ready' | 'missing' | 'leaving' | 'gone' | 'unreadable';
