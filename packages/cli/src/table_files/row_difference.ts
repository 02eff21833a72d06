/** Difference between a table and an edit of it. */
export interface RowDifference {
  change: 'add' | 'change' | 'remove';
  key: string;
  /** Empty if the whole row is added or removed. */
  column: string;
  from: string;
  to: string;
}
