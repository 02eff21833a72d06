import type {ServerResponse} from 'node:http';
import type {RefusalHead} from './refusal_head.js';

/** Sends a refusal without a body, unless an answer has begun. */
export function sendRefusal(res: ServerResponse, head: RefusalHead): void {
  if (res.headersSent || res.destroyed) return;
  res.writeHead(head.status, {...head.headers, 'content-length': '0'});
  res.end();
}
