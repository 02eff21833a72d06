/** Requests that are kept of one engine, which runs 8 to 11 at once. */
const MAX_REQUESTS = 16;

/** An engine that ended before it had answered a prompt with some part. */
export interface Incident {
  /** Id of one start of the engine. */
  engine: string;
  /** Steady clock. */
  atMs: number;
  /** Steady clock; start of the newest attempt that held the part. */
  startedMs: number;
  /** Whether the answer had begun, in any attempt that held the part. */
  begun: boolean;
  /** The same for its first pieces. */
  writing: boolean;
  /** Whether such an attempt was a trial. */
  onTrial: boolean;
  /** Parts that all such attempts held. */
  parts: ReadonlySet<string>;
  /** Requests of these attempts, as far as they are identified. */
  requests: Set<string>;
}

/** Adds the request of an attempt; empty if it is not identified. */
export function addRequest(requests: Set<string>, request: string): void {
  if (request === '' || requests.size >= MAX_REQUESTS) return;
  requests.add(request);
}
