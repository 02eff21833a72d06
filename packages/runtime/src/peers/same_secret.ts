import {createHash, timingSafeEqual} from 'node:crypto';

/** Compares secrets in constant time. */
export function sameSecret(a: string, b: string): boolean {
  return timingSafeEqual(digest(a), digest(b));
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
