/** Exits the process after the pending responses have been flushed. */
export interface Exit {
  kind: 'exit';
}
