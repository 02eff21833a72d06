import type {IncomingMessage} from 'node:http';

/** A header's text, empty if absent. */
export function header(req: IncomingMessage, name: string): string {
  const value = req.headers[name];
  return typeof value === 'string' ? value : '';
}

/** A header's number, or the default if absent or not a number. */
export function numberHeader(
  req: IncomingMessage,
  name: string,
  fallback: number,
): number {
  const value = header(req, name);
  return value === '' || !Number.isFinite(Number(value))
    ? fallback
    : Number(value);
}
