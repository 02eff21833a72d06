import type {PlannedRequest} from './requests/planned_request.js';
import type {LoadResult} from './stats/load_result.js';

/** Sends a request to one of the routers. */
export interface SendRequest {
  kind: 'send_request';
  request: PlannedRequest;
  /** Number of the router. */
  router: number;
}

/** Gives up a request. */
export interface AbortRequest {
  kind: 'abort_request';
  id: string;
}

/** Asks all services for their executions. */
export interface ReadExecutions {
  kind: 'read_executions';
}

/** Ends the run. */
export interface Finish {
  kind: 'finish';
  result: LoadResult;
}

/** Everything that a load run can do. */
export type LoadAction = SendRequest | AbortRequest | ReadExecutions | Finish;
