/** Effect of an edit on one column or one whole row of a table. */
export interface RowDifference {
  change: 'add' | 'change' | 'remove';
  key: string;
  /** Empty if the whole row is added or removed. */
  column: string;
  from: string;
  to: string;
}
