import type {IncomingMessage} from 'node:http';

/** Value of a header; empty if absent. */
export function header(req: IncomingMessage, name: string): string {
  const value = req.headers[name];
  return typeof value === 'string' ? value : '';
}

/** Numeric value of a header, or `fallback` if absent or not a number. */
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
