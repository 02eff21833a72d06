import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Operator} from '../auth/operator.js';

/** A request whose caller is known and permitted. */
export interface AuthorizedRequest {
  req: IncomingMessage;
  res: ServerResponse;
  match: Record<string, string>;
  operator: Operator;
}
