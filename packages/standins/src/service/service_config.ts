/** Properties of a plain service. */
export interface ServiceConfig {
  incarnation: string;
  latencyMs: number;
  /** Calls in progress; more are refused as not run. */
  maxCalls: number;
}
