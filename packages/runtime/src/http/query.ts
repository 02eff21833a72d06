import type {IncomingMessage} from 'node:http';

/** Query parameters of a request. */
export function query(req: IncomingMessage): URLSearchParams {
  const queryStart = (req.url ?? '').indexOf('?');
  return new URLSearchParams(
    queryStart < 0 ? '' : req.url?.slice(queryStart + 1),
  );
}
