/** How a prompt could be spread over engines. */
export interface SpreadPlan {
  /** Engines that read a part each. */
  width: number;
  /** Whether each helper stores its part of the prompt. */
  shared: boolean;
  /** Time to read one part, in milliseconds. */
  readMs: number;
  /** Before other prompts that are read, or after them. */
  turn: 'at_once' | 'in_turn';
  /** See `ChoiceConditions`. */
  largeFleet: boolean;
  /** Worth of an engine without strict streams. */
  freeEngineValue: number;
}
