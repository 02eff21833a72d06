import type {IncomingMessage, ServerResponse} from 'node:http';
import {releaseHead} from '../memory/head_bytes.js';
import type {LingerLimits} from './linger_limits.js';

/**
 * Closes a connection some time after its answer, for which the rest of the
 * body is discarded. A connection that is closed with unread bytes is reset,
 * and the caller may lose the answer.
 */
export function lingerClose(
  req: IncomingMessage,
  res: ServerResponse,
  {timeoutMs, maxBytes}: LingerLimits,
): void {
  res.setHeader('connection', 'close');
  releaseHead(req);
  const {socket} = req;
  if (req.complete || socket.destroyed) return;
  let discardedBytes = 0;
  req.on('data', (part: Buffer) => {
    discardedBytes += part.length;
    if (discardedBytes > maxBytes) req.pause();
  });
  // The server calls it after the answer; the reading side stays open.
  socket.destroySoon = () => void socket.end();
  const timer = setTimeout(() => socket.destroy(), timeoutMs);
  timer.unref();
  socket.once('close', () => clearTimeout(timer));
}
