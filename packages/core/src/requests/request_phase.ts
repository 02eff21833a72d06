/** Lifecycle phase of an admitted request. */
export type RequestPhase =
  'claiming' | 'queued' | 'backoff' | 'reserving' | 'dispatched' | 'streaming';
