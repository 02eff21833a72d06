/** A row of an edit as submitted, not validated yet. */
export interface RowProposal {
  type: string;
  name: string;
  /** Version that the author saw; undefined means the current one. */
  base: number | undefined;
  /** Values by column, without `type` and `name`; null removes the row. */
  values: Record<string, unknown> | null;
  /** `text`: values are cell texts; `json`: they are JSON values. */
  source: 'text' | 'json';
}
