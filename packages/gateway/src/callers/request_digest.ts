import {createHash} from 'node:crypto';
import type {CallerHead} from './caller_head.js';

/** 128 bits, in hexadecimal digits. */
const DIGEST_LENGTH = 32;

/**
 * Creates the digest of what the repeats of a request have in common; it is
 * made once, and only if it is asked for.
 * @param identity what of the headers is repeated
 */
export function createRequestDigest(
  {method, target}: Pick<CallerHead, 'method' | 'target'>,
  identity: string,
  body: Uint8Array,
): () => string {
  let digest: string | undefined;
  return () => {
    digest ??= createHash('sha256')
      .update(JSON.stringify([method, target, identity]))
      .update(body)
      .digest('hex')
      .slice(0, DIGEST_LENGTH);
    return digest;
  };
}
