/** Ends the process once pending writes are flushed. */
export interface Exit {
  kind: 'exit';
  code: number;
}
