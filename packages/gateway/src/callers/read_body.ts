import type {IncomingMessage} from 'node:http';

/** Body of a request, or why it could not be read. */
export type BodyRead = Buffer | 'too_large' | 'broken';

/** Reads a whole body; stops at the first byte beyond `maxBytes`. */
export function readBody(
  req: IncomingMessage,
  maxBytes: number | undefined,
): Promise<BodyRead> {
  return new Promise(resolve => {
    const parts: Buffer[] = [];
    let bytes = 0;
    req.on('data', (part: Buffer) => {
      bytes += part.length;
      if (maxBytes !== undefined && bytes > maxBytes) {
        req.pause();
        resolve('too_large');
        return;
      }
      parts.push(part);
    });
    req.on('end', () => resolve(Buffer.concat(parts)));
    req.on('error', () => resolve('broken'));
    req.on('close', () => resolve('broken'));
  });
}
