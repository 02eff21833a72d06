/** Where an admitted request stands. */
export type RequestPhase =
  'claiming' | 'queued' | 'backoff' | 'reserving' | 'dispatched' | 'streaming';
