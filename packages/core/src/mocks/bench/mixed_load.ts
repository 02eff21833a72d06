import type {RequestArrived} from '../../router/events/request_arrived.js';
import type {ClassRow} from '../../types/class_row.js';
import type {RandomSource} from '../../types/random_source.js';
import {requestArrived} from '../router_events.js';
import {classRow} from '../rows.js';

/** Prompts of one class in the mixed load. */
interface LoadShare {
  cls: ClassRow;
  /** Fraction of all requests. */
  share: number;
  minTokens: number;
  maxTokens: number;
}

/** One in fifty prompts has more than 100,000 tokens. */
const SHARES: LoadShare[] = [
  share('lookup', 0.7, 1_000, 4_000, 0, 10_000, 'first_token'),
  share('batch', 0.2, 4_000, 20_000, 3, 60_000, 'first_token'),
  share('section', 0.08, 20_000, 100_000, 5, 120_000, 'completion'),
  share('register', 0.02, 100_000, 1_000_000, 7, 300_000, 'completion'),
];
/** Fraction of `batch` prompts that begin with a shared document. */
const SHARED_PREFIX_SHARE = 0.3;
const SHARED_PREFIXES = 40;
const SHARED_BLOCKS = 12;

/** A request and the true length of its answer, unknown to the router. */
export interface LoadItem {
  event: RequestArrived;
  outputTokens: number;
}

/** Classes of the mixed load. */
export function loadClasses(): ClassRow[] {
  return SHARES.map(({cls}) => cls);
}

/** Creates a source of requests with log-uniform lengths in each class. */
export function createMixedLoad(random: RandomSource): () => LoadItem {
  let count = 0;
  return () => {
    count += 1;
    const {cls, minTokens, maxTokens} = pickShare(random());
    const ratio = maxTokens / minTokens;
    const promptTokens = Math.round(minTokens * ratio ** random());
    const outputTokens = 20 + Math.floor(random() * 100);
    const prefixed = cls.name === 'batch' && random() < SHARED_PREFIX_SHARE;
    const prefix = Math.floor(random() * SHARED_PREFIXES);
    const customer = Math.floor(random() * 4);
    const event = requestArrived({
      reqId: `req-${count}`,
      keyHash: `hash-${customer}`,
      className: cls.name,
      promptTokens,
      maxOutputTokens: 128,
      prefixHashes: prefixed ? sharedPrefix(prefix) : [],
    });
    return {event, outputTokens};
  };
}

function pickShare(at: number): LoadShare {
  let left = at;
  for (const item of SHARES) {
    if (left < item.share) return item;
    left -= item.share;
  }
  return SHARES[0]!;
}

function sharedPrefix(prefix: number): string[] {
  return Array.from({length: SHARED_BLOCKS}, (_, i) => `doc-${prefix}-${i}`);
}

function share(
  name: string,
  part: number,
  minTokens: number,
  maxTokens: number,
  priority: number,
  timeoutMs: number,
  objective: ClassRow['objective'],
): LoadShare {
  const cls = classRow({name, priority, timeoutMs, objective});
  return {cls, share: part, minTokens, maxTokens};
}
