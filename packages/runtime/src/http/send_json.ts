import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';

/** Sends a value as a JSON response. */
export function sendJson(
  res: ServerResponse,
  status: number,
  value: unknown,
  headers: OutgoingHttpHeaders = {},
): void {
  res.writeHead(status, {'content-type': 'application/json', ...headers});
  res.end(JSON.stringify(value));
}
