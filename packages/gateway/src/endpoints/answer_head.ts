/** Head of an endpoint's answer. */
export interface AnswerHead {
  status: number;
  /** Headers for the caller, names and values in turn. */
  headers: string[];
  streamed: boolean;
}
