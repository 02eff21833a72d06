import type {IncomingMessage} from 'node:http';
import {createBodyCollector} from '../shared/body_collector.js';

/** Body of a request, or why it could not be read. */
export type BodyRead = Buffer | 'too_large' | 'broken';

/** Reads a whole body; stops at the first byte beyond `maxBytes`. */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<BodyRead> {
  return new Promise(resolve => {
    const body = createBodyCollector();
    req.on('data', (part: Buffer) => {
      if (body.length() + part.length > maxBytes) {
        req.pause();
        resolve('too_large');
        return;
      }
      body.append(part);
    });
    req.on('end', () => resolve(body.take()));
    req.on('error', () => resolve('broken'));
    req.on('close', () => resolve('broken'));
  });
}
