/** Configuration of a simulated plain service. */
export interface ServiceConfig {
  incarnation: string;
  latencyMs: number;
  /** Limit of calls in progress; more are refused as not run. */
  maxCalls: number;
}
