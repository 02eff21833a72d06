import type {IncomingMessage, ServerResponse} from 'node:http';
import {header} from './header.js';

/** Headers by which an answer names its request and attempt. */
const NAMING_HEADERS = ['wl-request-id', 'wl-attempt'];

/** Lets every answer to a request name it, whatever the answer is. */
export function nameRequest(req: IncomingMessage, res: ServerResponse): void {
  for (const name of NAMING_HEADERS) res.setHeader(name, header(req, name));
}
