/** What is known of a request's cost when it arrives. */
export interface RequestWork {
  route: string;
  /** Name of the customer; empty if unknown. */
  customer: string;
  /** Whether the answer is a stream. */
  streamed: boolean;
  /** Tokens of the answer by the caller's figures; 0 for none. */
  declaredTokens: number;
  /** Largest number of tokens that the caller accepts. */
  maxOutputTokens: number;
}
