/** Result of an append; `unknown` if the answer was lost. */
export interface AppendSettled {
  kind: 'append_settled';
  appendId: string;
  result: 'appended' | 'not_appended' | 'unknown';
  /** Offset of the record if appended, else -1. */
  offset: number;
}
