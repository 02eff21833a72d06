import type {OpenRequest} from './open_request.js';

/** Requests without a final answer, by request id. */
export type OpenRequests = Map<string, OpenRequest>;
