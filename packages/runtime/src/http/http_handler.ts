import type {IncomingMessage, ServerResponse} from 'node:http';

/** Handles one request; `match` holds the path pattern's named groups. */
export type HttpHandler = (
  req: IncomingMessage,
  res: ServerResponse,
  match: Record<string, string>,
) => void | Promise<void>;
