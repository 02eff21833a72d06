import type {CacheEvents} from '../../router/events/cache_events.js';
import type {EndpointReport} from '../../router/events/endpoint_report.js';
import type {EngineJob} from './engine_job.js';
import type {VirtualClock} from './virtual_clock.js';

/** Linear prefill speed in tokens per millisecond. */
export const ENGINE_RATE = 40;
/** Length at which the quadratic part of prefill equals the linear one. */
const QUADRATIC_TOKENS = 500_000;
const SLOWDOWN_PER_STREAM = 0.01;
const DECODE_TOKEN_MS = 25;
const BLOCK_TOKENS = 256;
const CACHE_BLOCKS = 1_000;

/** Engine with one prefill at a time, ordered by priority and arrival. */
export interface VirtualEngine {
  start(job: EngineJob): void;
  cancel(id: string): void;
  /** Session id, or undefined if the memory is not free. */
  reserve(tokens: number): string | undefined;
  release(sessionId: string): void;
  report(): EndpointReport;
  /** The full listing of the cache, regardless of the requested range. */
  cacheListing(): CacheEvents;
}

/** Prefill time in milliseconds on an engine without decode streams. */
export function idlePrefillMs(promptTokens: number, cached = 0): number {
  const squares = promptTokens ** 2 - cached ** 2;
  return (promptTokens - cached + squares / QUADRATIC_TOKENS) / ENGINE_RATE;
}

/** Time from first token to end on an engine without other streams. */
export function idleDecodeMs(outputTokens: number): number {
  return outputTokens * DECODE_TOKEN_MS;
}

/** Creates an idle engine. */
export function createVirtualEngine(
  clock: VirtualClock,
  name: string,
  kvCapacityTokens: number,
): VirtualEngine {
  const waiting: EngineJob[] = [];
  const decoding = new Map<string, EngineJob>();
  const sessions = new Map<string, number>();
  const cache = new Set<string>();
  let running: EngineJob | undefined;
  let runningFromMs = 0;
  let runningMs = 0;
  let used = 0;
  let cacheSequence = 0;
  let reserved = 0;

  function start(job: EngineJob): void {
    let at = waiting.length;
    while (at > 0 && waiting[at - 1]!.priority > job.priority) at -= 1;
    waiting.splice(at, 0, job);
    runNext();
  }

  function runNext(): void {
    const job = waiting[0];
    if (running || !job || used + kvTokens(job) > kvCapacityTokens) return;
    waiting.shift();
    used += kvTokens(job);
    running = job;
    runningFromMs = clock.nowMs();
    const slowdown = 1 + SLOWDOWN_PER_STREAM * decoding.size;
    runningMs = idlePrefillMs(job.promptTokens, cachedTokens(job)) * slowdown;
    clock.after(runningMs, () => prefilled(job));
  }

  function prefilled(job: EngineJob): void {
    if (running !== job) return;
    running = undefined;
    decoding.set(job.id, job);
    cachePrefix(job);
    const slowdown = 1 + SLOWDOWN_PER_STREAM * decoding.size;
    clock.after(idleDecodeMs(job.outputTokens) * slowdown, () => decoded(job));
    job.firstToken();
    runNext();
  }

  function decoded(job: EngineJob): void {
    if (decoding.get(job.id) !== job) return;
    decoding.delete(job.id);
    used -= kvTokens(job);
    job.ended();
    runNext();
  }

  function cancel(id: string): void {
    const at = waiting.findIndex(job => job.id === id);
    if (at >= 0) waiting.splice(at, 1);
    const active = running?.id === id ? running : decoding.get(id);
    if (active) used -= kvTokens(active);
    if (running?.id === id) running = undefined;
    decoding.delete(id);
    runNext();
  }

  function cachedTokens(job: EngineJob): number {
    const missing = job.prefixHashes.findIndex(hash => !cache.has(hash));
    const blocks = missing < 0 ? job.prefixHashes.length : missing;
    return Math.min(blocks * BLOCK_TOKENS, job.promptTokens);
  }

  function cachePrefix(job: EngineJob): void {
    for (const hash of job.prefixHashes) {
      if (!cache.delete(hash)) cacheSequence += 1;
      cache.add(hash);
    }
    for (const oldest of cache) {
      if (cache.size <= CACHE_BLOCKS) break;
      cache.delete(oldest);
      cacheSequence += 1;
    }
  }

  function reserve(tokens: number): string | undefined {
    if (used + tokens > kvCapacityTokens) return undefined;
    used += tokens;
    reserved += 1;
    const sessionId = `${name}-${reserved}`;
    sessions.set(sessionId, tokens);
    return sessionId;
  }

  function release(sessionId: string): void {
    used -= sessions.get(sessionId) ?? 0;
    sessions.delete(sessionId);
    runNext();
  }

  function queuedPrefillTokens(): number {
    let tokens = waiting.reduce((sum, job) => sum + job.promptTokens, 0);
    if (running) {
      const done = (clock.nowMs() - runningFromMs) / runningMs;
      tokens += running.promptTokens * (1 - done);
    }
    return Math.round(tokens);
  }

  return {
    start,
    cancel,
    reserve,
    release,
    report: () => ({
      kind: 'endpoint_report',
      endpoint: name,
      incarnation: 'first',
      leaving: false,
      queuedPrefillTokens: queuedPrefillTokens(),
      decodeStreams: decoding.size,
      kvUsedTokens: used,
      kvCapacityTokens,
      cacheSequence,
      sessions: [],
      models: [],
    }),
    cacheListing: () => ({
      kind: 'cache_events',
      endpoint: name,
      incarnation: 'first',
      firstSequence: cacheSequence,
      lastSequence: cacheSequence,
      full: true,
      added: [...cache],
      removed: [],
    }),
  };
}

function kvTokens(job: EngineJob): number {
  return job.reserved ? 0 : job.promptTokens + job.outputTokens;
}
