/** A way to split the prefill of a prompt over engines. */
export interface SpreadPlan {
  /** Engines that prefill one part each. */
  width: number;
  /** Whether each helper stores its part of the prompt. */
  sharded: boolean;
  /** Time to prefill one part, in milliseconds. */
  prefillMs: number;
  /** `immediate`: before the prefills of other prompts; `queued`: after. */
  startMode: 'immediate' | 'queued';
  /** See `ChoiceConditions`. */
  largeFleet: boolean;
  /** Value of an engine without strict streams. */
  freeEngineValue: number;
}
