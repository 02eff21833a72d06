import {agedPriority} from './ageing.js';
import {createLaneThroughput} from './lane_throughput.js';
import type {Flow} from './flow.js';
import type {QueueEntry} from './queue_entry.js';

/** Waiting requests of one service and lane. */
export interface LaneQueue {
  push(entry: QueueEntry): void;
  /** Returns whether the entry was in the lane. */
  remove(reqId: string): boolean;
  size(): number;
  entries(): Iterable<QueueEntry>;
  /** Offers entries in order until one is refused. */
  serve(nowMs: number, tryStart: (entry: QueueEntry) => boolean): void;
  /** Expected waiting time of an entry that is not in the lane yet. */
  expectedWaitMs(entry: QueueEntry, nowMs: number): number;
}

/**
 * Creates an empty lane: start-time fair queueing by tokens among flows of the
 * same aged priority. While two flows of one priority are backlogged, their
 * served tokens per weight differ by at most the sum of the largest request
 * per weight of each.
 *
 * @param halfLifeMs half-life of the throughput average
 * @param retryMs pause after a refusal before the lane is offered again
 */
export function createLaneQueue(
  halfLifeMs: number,
  retryMs: number,
): LaneQueue {
  const flows = new Map<string, Flow>();
  const flowByRequest = new Map<string, Flow>();
  const throughput = createLaneThroughput(halfLifeMs);
  let virtualTime = 0;
  let nextOfferMs = -Infinity;

  function push(entry: QueueEntry): void {
    const flow = findFlow(entry);
    flow.weight = entry.weight;
    if (flow.entries.length === 0) {
      flow.startTag = Math.max(flow.startTag, virtualTime);
    }
    // A retried request returns to its position by arrival time.
    let at = flow.entries.length;
    while (at > 0 && flow.entries[at - 1]!.arrivedMs > entry.arrivedMs) at--;
    flow.entries.splice(at, 0, entry);
    flow.backlogTokens += tokensOf(entry);
    flowByRequest.set(entry.reqId, flow);
  }

  function findFlow(entry: QueueEntry): Flow {
    const key = flowKey(entry);
    const known = flows.get(key);
    if (known) return known;
    const flow = {
      key,
      entries: [],
      weight: entry.weight,
      startTag: virtualTime,
      backlogTokens: 0,
    };
    flows.set(key, flow);
    return flow;
  }

  function remove(reqId: string): boolean {
    const flow = flowByRequest.get(reqId);
    if (!flow) return false;
    const at = flow.entries.findIndex(entry => entry.reqId === reqId);
    const [entry] = flow.entries.splice(at, 1);
    flow.backlogTokens -= entry ? tokensOf(entry) : 0;
    flowByRequest.delete(reqId);
    return true;
  }

  function serve(
    nowMs: number,
    tryStart: (entry: QueueEntry) => boolean,
  ): void {
    throughput.advance(nowMs, flowByRequest.size > 0);
    if (nowMs < nextOfferMs) return;
    for (let flow = nextFlow(nowMs); flow; flow = nextFlow(nowMs)) {
      const entry = flow.entries[0]!;
      if (!tryStart(entry)) {
        nextOfferMs = nowMs + retryMs;
        return;
      }
      // A request that was rejected meanwhile has left already, uncharged.
      if (remove(entry.reqId)) charge(flow, entry);
    }
    removeIdleFlows();
  }

  /** Flow whose first entry is served next. */
  function nextFlow(nowMs: number): Flow | undefined {
    let best: Flow | undefined;
    let bestPriority = Infinity;
    for (const flow of flows.values()) {
      const entry = flow.entries[0];
      if (!entry) continue;
      const priority = agedPriority(entry, nowMs);
      const first =
        best === undefined ||
        priority < bestPriority ||
        (priority === bestPriority && flow.startTag < best.startTag);
      if (!first) continue;
      best = flow;
      bestPriority = priority;
    }
    return best;
  }

  function charge(flow: Flow, entry: QueueEntry): void {
    const tokens = tokensOf(entry);
    throughput.started(tokens);
    if (entry.charged) return;
    entry.charged = true;
    virtualTime = Math.max(virtualTime, flow.startTag);
    // A flow that waited behind a higher priority keeps credit for one request
    // only; with more, it would monopolize the lane until it has caught up.
    const cost = tokens / flow.weight;
    flow.startTag = Math.max(flow.startTag, virtualTime - cost) + cost;
  }

  /** Removes empty flows that would restart at the current virtual time. */
  function removeIdleFlows(): void {
    if (flowByRequest.size === 0) virtualTime = maxTag();
    for (const flow of flows.values()) {
      if (flow.entries.length === 0 && flow.startTag <= virtualTime) {
        flows.delete(flow.key);
      }
    }
  }

  function maxTag(): number {
    let tag = virtualTime;
    for (const flow of flows.values()) tag = Math.max(tag, flow.startTag);
    return tag;
  }

  function expectedWaitMs(entry: QueueEntry, nowMs: number): number {
    const rate = throughput.tokensPerMs();
    if (flowByRequest.size === 0 || rate === undefined) return 0;
    return tokensAhead(entry, nowMs) / rate;
  }

  function tokensAhead(entry: QueueEntry, nowMs: number): number {
    const key = flowKey(entry);
    const own = flows.get(key)?.backlogTokens ?? 0;
    let ahead = own;
    for (const flow of flows.values()) {
      const first = flow.entries[0];
      if (!first || flow.key === key) continue;
      const priority = agedPriority(first, nowMs);
      if (priority < entry.priority) ahead += flow.backlogTokens;
      if (priority === entry.priority) {
        const share = (flow.weight / entry.weight) * (own + tokensOf(entry));
        ahead += Math.min(flow.backlogTokens, share);
      }
    }
    return ahead;
  }

  function* entries(): Iterable<QueueEntry> {
    for (const flow of flows.values()) yield* flow.entries;
  }

  return {
    push,
    remove,
    size: () => flowByRequest.size,
    entries,
    serve,
    expectedWaitMs,
  };
}

function flowKey(entry: QueueEntry): string {
  return `${entry.className}|${entry.customer}`;
}

/** Tokens that a request is charged for. */
function tokensOf(entry: QueueEntry): number {
  return entry.promptTokens + entry.maxOutputTokens;
}
