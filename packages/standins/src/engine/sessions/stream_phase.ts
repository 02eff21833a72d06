/**
 * Phase of a stream. `confirming`: its reservations on other engines are being
 * confirmed. `waiting`: for memory or a batch slot. `stuck`: never answered
 * by an injected fault, or removed while a batch step still refers to it.
 */
export type StreamPhase =
  'confirming' | 'waiting' | 'prefill' | 'decode' | 'stuck';
