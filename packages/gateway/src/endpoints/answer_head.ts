/** Head of an endpoint's answer. */
export interface AnswerHead {
  status: number;
  /** Headers for the caller, alternating names and values. */
  headers: string[];
  streamed: boolean;
}
