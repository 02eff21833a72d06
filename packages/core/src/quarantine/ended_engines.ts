/** Engines that ended under a request, as gateways tell each other. */
export interface EndedEngines {
  /** Id of the request as a cause. */
  request: string;
  /** Starts of engines, `ENDPOINT/STARTED_AT_MS`. */
  engines: string[];
  /** Time since the last of them ended, in milliseconds. */
  ageMs: number;
}
