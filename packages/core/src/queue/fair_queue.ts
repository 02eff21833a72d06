import {createLaneQueue, type LaneQueue} from './lane_queue.js';
import {laneOf, type Lane} from './lane.js';
import type {QueueEntry} from './queue_entry.js';
import {RequestQueue} from './request_queue.js';

/** Long prompts start rarely, so their throughput needs a longer average. */
const HALF_LIFE_MS: Record<Lane, number> = {short: 10_000, long: 60_000};
/** Pause of a lane after a refusal; bounds the CPU cost of full engines. */
const OFFER_RETRY_MS = 5;

/** One lane per service and prompt length, each fair in tokens. */
export class FairQueue extends RequestQueue {
  private readonly lanes = new Map<string, LaneQueue>();
  private readonly laneByRequest = new Map<string, LaneQueue>();

  constructor(private readonly longPromptTokens: number) {
    super();
  }

  override push(entry: QueueEntry): void {
    const lane = this.lane(entry);
    lane.push(entry);
    this.laneByRequest.set(entry.reqId, lane);
  }

  override remove(reqId: string): void {
    this.laneByRequest.get(reqId)?.remove(reqId);
    this.laneByRequest.delete(reqId);
  }

  override size(): number {
    return this.laneByRequest.size;
  }

  override *entries(): Iterable<QueueEntry> {
    for (const lane of this.lanes.values()) yield* lane.entries();
  }

  override serve(
    nowMs: number,
    tryStart: (entry: QueueEntry) => boolean,
  ): void {
    for (const lane of this.lanes.values()) {
      lane.serve(nowMs, entry => {
        if (!tryStart(entry)) return false;
        this.laneByRequest.delete(entry.reqId);
        return true;
      });
    }
  }

  override expectedWaitMs(entry: QueueEntry, nowMs: number): number {
    return this.lane(entry).expectedWaitMs(entry, nowMs);
  }

  private lane(entry: QueueEntry): LaneQueue {
    const lane = laneOf(entry.promptTokens, this.longPromptTokens);
    const key = `${lane}|${entry.service}`;
    let found = this.lanes.get(key);
    if (!found) {
      found = createLaneQueue(HALF_LIFE_MS[lane], OFFER_RETRY_MS);
      this.lanes.set(key, found);
    }
    return found;
  }
}
