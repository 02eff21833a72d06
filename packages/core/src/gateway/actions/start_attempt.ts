import type {HelperEngine} from '../../spread/helper_engine.js';

/** Sends a request to an endpoint. */
export interface StartAttempt {
  kind: 'start_attempt';
  reqId: string;
  /** 1 for the first attempt of a request. */
  attempt: number;
  /** Id that the endpoint must have. */
  endpoint: string;
  /** `IP:PORT`. */
  address: string;
  /** Connections that this process may hold to the endpoint. */
  maxConnections: number;
  /** Whether the answer is a stream of numbered pieces. */
  streamed: boolean;
  /** Name of the customer; empty if the request carried no key. */
  customer: string;
  /** Time after which the endpoint stops; undefined if unbounded. */
  remainingMs: number | undefined;
  /** Steady clock; the request is not sent from this time on. */
  notAfterMs: number;
  /** 0 is admitted first, 9 last. */
  priority: number;
  /** Engines that prefill parts of the prompt. */
  helpers: HelperEngine[];
  /** Last piece that the caller has; 0 for none. */
  resumeAfter: number;
  /** Whether the connection must be a new one. */
  newConnection: boolean;
}
