/** A model that is being loaded. */
export interface ModelLoad {
  /** Written `NAME@VERSION`. */
  model: string;
  step: 'fetching' | 'waiting' | 'loading';
  /** When the step `waiting` or `loading` ends. */
  dueMs: number;
}
