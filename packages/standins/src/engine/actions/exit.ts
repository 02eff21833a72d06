/** Ends the process. */
export interface Exit {
  kind: 'exit';
}
