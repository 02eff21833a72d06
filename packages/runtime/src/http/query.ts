import type {IncomingMessage} from 'node:http';

/** Query parameters of a request. */
export function query(req: IncomingMessage): URLSearchParams {
  const mark = (req.url ?? '').indexOf('?');
  return new URLSearchParams(mark < 0 ? '' : req.url?.slice(mark + 1));
}
