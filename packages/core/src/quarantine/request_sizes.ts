import {bodyBytesOf} from './cause_kind.js';

/**
 * Sizes of the requests in a table. The digest of an arriving request is made
 * only if its size is among them.
 */
export interface RequestSizes {
  add(request: string): void;
  remove(request: string): void;
  has(bodyBytes: number): boolean;
}

/** Creates the sizes of an empty table. */
export function createRequestSizes(): RequestSizes {
  const counts = new Map<number, number>();

  function change(request: string, by: number): void {
    const bodyBytes = bodyBytesOf(request);
    const count = (counts.get(bodyBytes) ?? 0) + by;
    if (count > 0) counts.set(bodyBytes, count);
    else counts.delete(bodyBytes);
  }

  return {
    add: request => change(request, 1),
    remove: request => change(request, -1),
    has: bodyBytes => counts.has(bodyBytes),
  };
}
