import type {ConnectionLease} from './connection_pool.js';

/** Largest body that is read so that its connection can be used again. */
const MAX_DISCARDED_BYTES = 65_536;
const DISCARD_TIMEOUT_MS = 1_000;

/** Reads the rest of an answer that nobody needs, for its connection only. */
export interface AnswerDiscard {
  begin(): void;
  /** Whether it has begun. */
  begun(): boolean;
  received(bytes: number): void;
  /** The answer is complete. */
  ended(keepAliveMs: number | undefined): void;
  /** The connection has failed. */
  failed(): void;
}

/** Creates the reader of an answer that may turn out to be not needed. */
export function createAnswerDiscard(lease: ConnectionLease): AnswerDiscard {
  let timer: NodeJS.Timeout | undefined;
  let receivedBytes = 0;

  return {
    begin: () => {
      timer = setTimeout(lease.discard, DISCARD_TIMEOUT_MS);
      timer.unref();
    },
    begun: () => timer !== undefined,
    received: bytes => {
      receivedBytes += bytes;
      if (receivedBytes <= MAX_DISCARDED_BYTES) return;
      clearTimeout(timer);
      lease.discard();
    },
    ended: keepAliveMs => {
      clearTimeout(timer);
      if (lease.connection.isUsable()) lease.release(keepAliveMs);
      else lease.discard();
    },
    failed: () => clearTimeout(timer),
  };
}
