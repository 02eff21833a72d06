import type {CostModel} from './compute/cost_model.js';
import type {EngineRole} from './orders/engine_role.js';

/** Properties of a simulated engine. */
export interface EngineConfig {
  /** Changes with each start of the process. */
  incarnation: string;
  kvCapacityTokens: number;
  /** Simulated milliseconds per millisecond; costs are divided by it. */
  timeScale: number;
  cost: CostModel;
  /** Prefill tokens of one batch step, over all streams. */
  chunkTokens: number;
  /** Streams that are prefilled or decoded at once. */
  maxBatch: number;
  /** Streams that wait for memory or a place; more are refused. */
  maxQueued: number;
  usePriorities: boolean;
  /** End of a stream whose request names no timeout. */
  maxStreamMs: number;
  reportIntervalMs: number;
  reportLagMs: number;
  cacheEventDelayMs: number;
  /** Probability that a cache event is lost. */
  cacheEventLoss: number;
  checksFencing: boolean;
  /** Models held at the start, written `NAME@VERSION`. */
  models: string[];
  role: EngineRole;
  /** Simulated time to load a model once its weights are there. */
  modelLoadMs: number;
}
