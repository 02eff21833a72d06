/**
 * Progress of a stream. `attaching`: its reservations on other engines are
 * being confirmed. `waiting`: for memory or a place in the batch. `stuck`:
 * accepted and never answered, by a fault.
 */
export type StreamPhase =
  'attaching' | 'waiting' | 'prefill' | 'decode' | 'stuck';
