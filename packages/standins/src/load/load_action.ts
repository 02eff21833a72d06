import type {PlannedRequest} from './requests/planned_request.js';
import type {LoadResult} from './stats/load_result.js';

/** Sends a request to one of the routers. */
export interface SendRequest {
  kind: 'send_request';
  request: PlannedRequest;
  /** Index in the list of routers. */
  router: number;
}

/** Aborts a request in flight. */
export interface AbortRequest {
  kind: 'abort_request';
  id: string;
}

/** Reads the execution counts of all services. */
export interface ReadExecutions {
  kind: 'read_executions';
}

/** Ends the run with its result. */
export interface Finish {
  kind: 'finish';
  result: LoadResult;
}

/** Side effects that the load node requests from its process. */
export type LoadAction = SendRequest | AbortRequest | ReadExecutions | Finish;
