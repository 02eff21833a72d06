import type {IncomingMessage} from 'node:http';

/**
 * Heap that a header line takes beside its bytes: the strings of its name and
 * its value, and its entries in the raw and in the parsed headers.
 */
const LINE_BYTES = 128;
/**
 * Heap for each byte of a head that is not complete. Lines of a few bytes take
 * ten times their length.
 */
const UNFINISHED_FACTOR = 10;
/** Covered by what each connection is granted; usual heads are smaller. */
const GRANTED_BYTES = 4_096;

/** Heap that the head of a request takes beyond what is granted, in bytes. */
export function headHeapBytes({rawHeaders}: IncomingMessage): number {
  let bytes = (rawHeaders.length / 2) * LINE_BYTES;
  for (const text of rawHeaders) bytes += text.length;
  return beyondGrant(bytes);
}

/** The same for the part of a head that has been parsed. */
export function unfinishedHeapBytes(parsedBytes: number): number {
  return beyondGrant(parsedBytes * UNFINISHED_FACTOR);
}

/** What of a connection's bytes counts against the budget. */
export function beyondGrant(bytes: number): number {
  return Math.max(0, bytes - GRANTED_BYTES);
}

/** Drops the head of a request that is refused, before its connection ends. */
export function releaseHead(req: IncomingMessage): void {
  req.rawHeaders = [];
  req.headers = {};
}
