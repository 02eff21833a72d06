import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';

/** SHA-256 of the bearer key in hexadecimal; undefined without a key. */
export function bearerKeyHash(req: IncomingMessage): string | undefined {
  const match = /^Bearer (\S+)$/.exec(req.headers.authorization ?? '');
  if (!match?.[1]) return undefined;
  return createHash('sha256').update(match[1]).digest('hex');
}
