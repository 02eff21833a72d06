import type {HttpHandler} from './http_handler.js';

/** A method and a path pattern with named groups. */
export interface HttpRoute {
  method: string;
  /** Anchored pattern for the path without the query. */
  path: RegExp;
  handler: HttpHandler;
}
