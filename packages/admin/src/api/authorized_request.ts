import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Operator} from '../auth/operator.js';

/** A request whose caller is authenticated and has the permission. */
export interface AuthorizedRequest {
  req: IncomingMessage;
  res: ServerResponse;
  /** Named groups of the route's path pattern. */
  match: Record<string, string>;
  operator: Operator;
}
