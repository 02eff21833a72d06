import type {Outcome} from '../types/outcome.js';

/** A dispatch to an endpoint. */
export interface FleetRun {
  reqId: string;
  key: string;
  /** Whether the endpoint certainly did not run it. */
  notRun: boolean;
}

/** A request and how it ended. */
export interface FleetRequest {
  reqId: string;
  key: string;
  node: string;
  /** Deadline of its end; a pause of its router extends it. */
  dueMs: number;
  /** Undefined until it ends, and for good if its router crashes. */
  outcome: Outcome | undefined;
  endedMs: number;
  crashed: boolean;
  /** False while its router is paused, and if the router then exits. */
  admitted: boolean;
}

/** Record of a run as observed from outside the routers. */
export interface FleetJournal {
  runs: FleetRun[];
  requests: Map<string, FleetRequest>;
  /** Appends that carry claims. */
  claimAppends: number;
  claimBytes: number;
  peerMessages: number;
  /** Time from claim to verdict of each decided claim. */
  verdictMs: number[];
}

/** Creates an empty journal. */
export function createFleetJournal(): FleetJournal {
  return {
    runs: [],
    requests: new Map(),
    claimAppends: 0,
    claimBytes: 0,
    peerMessages: 0,
    verdictMs: [],
  };
}
