import type {OpenRequest} from './open_request.js';

/** Requests of callers that have not been answered to the end. */
export type OpenRequests = Map<string, OpenRequest>;
