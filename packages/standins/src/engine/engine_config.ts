import type {CostModel} from './compute/cost_model.js';
import type {EngineRole} from './orders/engine_role.js';

/** Configuration of a simulated engine. */
export interface EngineConfig {
  /** Changes with each start of the process. */
  incarnation: string;
  kvCapacityTokens: number;
  /** Simulated milliseconds per real millisecond; divides all costs. */
  timeScale: number;
  cost: CostModel;
  /** Prefill token budget of a batch step, shared by all streams. */
  chunkTokens: number;
  /** Maximum number of streams in prefill or decode. */
  maxBatch: number;
  /** Streams waiting for memory or a batch slot; more are refused. */
  maxQueued: number;
  usePriorities: boolean;
  /** Timeout of a stream whose request has none. */
  maxStreamMs: number;
  reportIntervalMs: number;
  reportLagMs: number;
  cacheEventDelayMs: number;
  /** Probability that a cache event is lost. */
  cacheEventLoss: number;
  checksFencing: boolean;
  /** Models loaded at startup, written `NAME@VERSION`. */
  models: string[];
  role: EngineRole;
  /** Simulated time to load a model after its weights are fetched. */
  modelLoadMs: number;
}
