import type {QueueName} from '../queue/queue_name.js';
import type {StrategyName} from '../routing/strategy_name.js';

/** Settings of a router's decisions. */
export interface RouterConfig {
  /** Own peer address, `IP:PORT`. */
  address: string;
  failureDomain: string;
  /** Larger for each start of the process. */
  incarnation: number;
  strategy: StrategyName;
  queue: QueueName;
  /** Prompts with more tokens than this go to the long lane. */
  longPromptTokens: number;
  /** Silence before the first part of an answer, in milliseconds. */
  firstTokenTimeoutMs: number;
  /** Silence between parts of an answer, in milliseconds. */
  idleTimeoutMs: number;
  /** Time during which a stopping router still admits, in milliseconds. */
  drainNoticeMs: number;
  /** Requests that may wait at once; more are refused. */
  maxWaiting: number;
}
