import type {QueueName} from '../queue/queue_name.js';
import type {StrategyName} from '../routing/strategy_name.js';

/** Settings of a router's decisions. */
export interface RouterConfig {
  /** Own peer address, `IP:PORT`. */
  address: string;
  failureDomain: string;
  /** Increases with each start of the process. */
  incarnation: number;
  /** Peer addresses to join by, `IP:PORT`; the own one may be among them. */
  peers: string[];
  strategy: StrategyName;
  queue: QueueName;
  /** Prompts with more tokens than this go to the long lane. */
  longPromptTokens: number;
  /** Timeout for the first part of an answer, in milliseconds. */
  firstTokenTimeoutMs: number;
  /** Timeout between two parts of an answer, in milliseconds. */
  idleTimeoutMs: number;
  /** Time during which a stopping router still admits, in milliseconds. */
  drainNoticeMs: number;
  /** Requests that may wait at once; more are refused. */
  maxWaiting: number;
  /** Number of routers that share the limits of customers. */
  fleetSize: number;
  /** Retention period of the `table` stream, in milliseconds. */
  tableRetentionMs: number;
  /** Older idempotency keys are refused; less than the log's retention. */
  keyMaxAgeMs: number;
  /** Largest difference between any two wall clocks, in milliseconds. */
  clockToleranceMs: number;
}
