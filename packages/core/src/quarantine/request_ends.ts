import type {EndedEngines} from './ended_engines.js';
import {createRequestSizes} from './request_sizes.js';

/** Engines that end under a request before it reaches no other one. */
const MAX_ENDED_ENGINES = 3;
const RETENTION_MS = 600_000;
/** Every caller may send requests that are cut off; the oldest are dropped. */
const MAX_REQUESTS = 2_048;
/** Time by which the gateway that saw the last end has judged. */
const REVIEWED_AFTER_MS = 500;
/** Time for which the ends under a request are repeated to peers. */
const REPEATED_FOR_MS = 30_000;
const MAX_REPEATED = 8;
/** Time by which a peer may tell of an end after the caller's repeat came. */
const MAX_NEWS_DELAY_MS = 50;

/** Which engines ended under which request, until an engine answers it. */
export interface RequestEnds {
  /**
   * An engine ended under an attempt of this gateway.
   * @param startedMs steady clock; start of the attempt
   */
  record(
    nowMs: number,
    request: string,
    engine: string,
    startedMs: number,
  ): void;
  /** A peer tells of engines that ended. */
  merge(nowMs: number, told: EndedEngines): void;
  /** Starts of the engines that ended under the request. */
  enginesOf(request: string): string[];
  isSuspected(request: string): boolean;
  /** Whether the request must reach no engine any more. */
  isSufficient(request: string): boolean;
  /** The same, and a verdict may follow in a moment. */
  isUnderReview(nowMs: number, request: string): boolean;
  /** An engine answered the request. Steady clock. */
  proven(request: string, atMs: number): void;
  forget(request: string): void;
  /** Whether a request of this size is in the table. */
  hasSize(bodyBytes: number): boolean;
  suspects(): string[];
  /** What peers are told of a request. */
  tell(nowMs: number, request: string): EndedEngines[];
  /** What peers may have missed lately. */
  recent(nowMs: number): EndedEngines[];
}

interface Ends {
  engines: Set<string>;
  lastMs: number;
}

/** Creates a table without requests. */
export function createRequestEnds(): RequestEnds {
  const byRequest = new Map<string, Ends>();
  const sizes = createRequestSizes();

  function add(request: string, engines: string[], atMs: number): void {
    const known = byRequest.get(request);
    const ends = known ?? {engines: new Set<string>(), lastMs: atMs};
    const others = engines.filter(engine => !ends.engines.has(engine));
    // A message that comes late or twice says nothing new.
    if (known && others.length === 0) return;
    for (const engine of others) {
      if (ends.engines.size < MAX_ENDED_ENGINES) ends.engines.add(engine);
    }
    ends.lastMs = Math.max(ends.lastMs, atMs);
    if (!known) sizes.add(request);
    byRequest.delete(request);
    byRequest.set(request, ends);
  }

  function forget(request: string): void {
    if (byRequest.delete(request)) sizes.remove(request);
  }

  function prune(nowMs: number): void {
    for (const [request, {lastMs}] of byRequest) {
      const expired = nowMs - lastMs >= RETENTION_MS;
      if (!expired && byRequest.size <= MAX_REQUESTS) return;
      forget(request);
    }
  }

  function record(
    nowMs: number,
    request: string,
    engine: string,
    startedMs: number,
  ): void {
    const lastMs = byRequest.get(request)?.lastMs ?? Number.NEGATIVE_INFINITY;
    // Engines that end together may have had the same request of several
    // callers, and say no more than one does.
    const isRepeat = startedMs >= lastMs - MAX_NEWS_DELAY_MS;
    add(request, isRepeat ? [engine] : [], nowMs);
    prune(nowMs);
  }

  function tell(nowMs: number, request: string): EndedEngines[] {
    const ends = byRequest.get(request);
    if (!ends) return [];
    const ageMs = Math.max(0, Math.round(nowMs - ends.lastMs));
    return [{request, engines: [...ends.engines], ageMs}];
  }

  return {
    record,
    merge: (nowMs, {request, engines, ageMs}) => {
      add(request, engines, nowMs - ageMs);
      prune(nowMs);
    },
    enginesOf: request => [...(byRequest.get(request)?.engines ?? [])],
    isSuspected: request => byRequest.has(request),
    isSufficient: request =>
      (byRequest.get(request)?.engines.size ?? 0) >= MAX_ENDED_ENGINES,
    isUnderReview: (nowMs, request) => {
      const ends = byRequest.get(request);
      if (!ends || ends.engines.size < MAX_ENDED_ENGINES) return false;
      return nowMs - ends.lastMs < REVIEWED_AFTER_MS;
    },
    proven: (request, atMs) => {
      const ends = byRequest.get(request);
      if (ends && ends.lastMs <= atMs) forget(request);
    },
    forget,
    hasSize: sizes.has,
    suspects: () => [...byRequest.keys()],
    tell,
    recent: nowMs =>
      [...byRequest.keys()]
        .slice(-MAX_REPEATED)
        .flatMap(request => tell(nowMs, request))
        .filter(({ageMs}) => ageMs < REPEATED_FOR_MS),
  };
}
