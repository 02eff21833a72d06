import type {ChatArrived} from '../events/chat_arrived.js';
import type {KvHolding} from '../memory/kv_holding.js';
import type {StreamPhase} from './stream_phase.js';

/** A request that the engine has accepted. */
export interface StreamState {
  request: ChatArrived;
  sessionId: string;
  /** Number in the order of arrival. */
  arrival: number;
  phase: StreamPhase;
  /** Undefined until the stream is admitted to memory. */
  holding: KvHolding | undefined;
  /** Tokens to hold on this engine: prompt and output less reservations. */
  localTokens: number;
  /** Tokens to prefill: the prompt, and the parts that a resume skips. */
  prefillTokens: number;
  /** Tokens prefilled so far, cached prefix included. */
  position: number;
  /** Number of parts of the whole answer. */
  length: number;
  nextSequence: number;
  partsSent: number;
  arrivedMs: number;
  expiresMs: number;
  /** Next time at which reservations on other engines are extended. */
  renewMs: number;
}
