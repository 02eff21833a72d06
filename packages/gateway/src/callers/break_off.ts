import type {ServerResponse} from 'node:http';

/** Ends an answer that has begun so that it cannot look complete. */
export function breakOff(res: ServerResponse): void {
  // Without chunks, the close of the connection would end the answer.
  const chunked = res.req.httpVersion !== '1.0';
  if (!chunked && res.socket) res.socket.resetAndDestroy();
  else res.destroy();
}
