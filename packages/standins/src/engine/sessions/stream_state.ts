import type {ChatArrived} from '../events/chat_arrived.js';
import type {KvAllocation} from '../memory/kv_allocation.js';
import type {StreamPhase} from './stream_phase.js';

/** State of an accepted request. */
export interface StreamState {
  request: ChatArrived;
  sessionId: string;
  /** Sequence number by order of arrival. */
  arrivalNumber: number;
  phase: StreamPhase;
  /** Undefined until memory is allocated. */
  allocation: KvAllocation | undefined;
  /** Tokens held on this engine: prompt and output less reservations. */
  localTokens: number;
  /** Tokens to prefill: the prompt and the parts that a resume skips. */
  prefillTokens: number;
  /** Tokens prefilled so far, including the cached prefix. */
  prefilledTokens: number;
  /** Number of parts of the whole answer. */
  partCount: number;
  nextSequence: number;
  partsSent: number;
  arrivedMs: number;
  expiresMs: number;
  /** Time at which the TTL of remote reservations is restarted next. */
  nextRenewalMs: number;
}
