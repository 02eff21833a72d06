import type {EndpointConnection} from './endpoint_connection.js';

/**
 * Bytes beyond the content of an answer: heads, chunk sizes, comments. Chunks
 * of a single byte have five bytes of framing each.
 */
const MAX_OVERHEAD_BYTES = 1_048_576;
const MAX_OVERHEAD_FACTOR = 8;

/** Compares what arrives on a connection with the content of an answer. */
export interface AnswerOverhead {
  /** Counts content; negative if it turns out to be none. */
  content(bytes: number): void;
  /** Whether most of what arrived is no part of an answer. */
  isTooLarge(): boolean;
}

/** Creates a count that starts with what the connection receives next. */
export function createAnswerOverhead(
  connection: EndpointConnection,
): AnswerOverhead {
  const bytesBefore = connection.receivedBytes();
  let contentBytes = 0;
  return {
    content: bytes => {
      contentBytes += bytes;
    },
    isTooLarge: () => {
      const receivedBytes = connection.receivedBytes() - bytesBefore;
      const maxBytes = MAX_OVERHEAD_BYTES + contentBytes * MAX_OVERHEAD_FACTOR;
      return receivedBytes - contentBytes > maxBytes;
    },
  };
}
