import type {Outcome} from '../types/outcome.js';

/** A dispatch to an endpoint. */
export interface FleetRun {
  reqId: string;
  key: string;
  /** The endpoint certainly did not act on it. */
  notRun: boolean;
}

/** A request and how it ended. */
export interface FleetRequest {
  reqId: string;
  key: string;
  node: string;
  /** Time by which it must have ended, pauses of its router included. */
  dueMs: number;
  /** Undefined until it ends; a crash of its router leaves it so. */
  outcome: Outcome | undefined;
  endedMs: number;
  crashed: boolean;
  /** False while its router is paused, and if that then exits. */
  admitted: boolean;
}

/** What an observer outside the routers saw. */
export interface FleetJournal {
  runs: FleetRun[];
  requests: Map<string, FleetRequest>;
  /** Appends that carry claims. */
  claimAppends: number;
  claimBytes: number;
  peerMessages: number;
  /** Time from claim to verdict of each claim decided. */
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
