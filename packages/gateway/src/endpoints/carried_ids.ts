/** Longer ids are not remembered, because callers choose their length. */
const MAX_ID_LENGTH = 64;
/** Bounds the memory for the ids of one connection. */
const MAX_REQUESTS = 256;

/**
 * Caller ids of the requests that a connection carried. Answers name the caller
 * id, which is the same for all attempts of a request, so a connection that
 * carried an id cannot tell the answer to it from a copy of an earlier one.
 */
export interface CarriedIds {
  add(callerId: string): void;
  /** Whether an answer may name the id and belong to an earlier request. */
  mayHold(callerId: string): boolean;
  /** Whether the connection must carry no further request. */
  isFull(): boolean;
  /** Number of requests. */
  count(): number;
}

/** Creates the record of a connection that carried nothing. */
export function createCarriedIds(): CarriedIds {
  const ids = new Set<string>();
  let count = 0;

  /** Answers that name no request may belong to any. */
  function isDistinctive(callerId: string): boolean {
    return callerId !== '' && callerId.length <= MAX_ID_LENGTH;
  }

  return {
    add: callerId => {
      count += 1;
      if (isDistinctive(callerId)) ids.add(callerId);
    },
    mayHold: callerId =>
      count > 0 && (!isDistinctive(callerId) || ids.has(callerId)),
    isFull: () => count >= MAX_REQUESTS,
    count: () => count,
  };
}
