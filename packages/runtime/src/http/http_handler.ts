import type {IncomingMessage, ServerResponse} from 'node:http';

/** Answers one request; `match` holds the pattern's named groups. */
export type HttpHandler = (
  req: IncomingMessage,
  res: ServerResponse,
  match: Record<string, string>,
) => void | Promise<void>;
