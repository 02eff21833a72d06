import type {EngineProfile} from '../configuration/engine_profile.js';
import type {AffectedWork} from '../engine_model/affected_work.js';
import type {EngineLoad} from '../engine_model/engine_load.js';
import {callerTimeoutMs} from '../engine_model/caller_timeout.js';
import type {Work} from '../fleet/work.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import {addedMissProbability} from './added_miss_probability.js';
import {LATE_SHARE, LOSS_PER_SECOND} from './loss_shares.js';
import type {PricedPart} from './priced_part.js';
import type {SpreadPlan} from './spread_plan.js';

/** Share of its worth that a prompt loses for each second of waiting. */
const READ_DELAY_LOSS_PER_SECOND = 0.03;
/** Wait for each request beyond the slots of an engine. */
const SLOT_WAIT_MS = 300;
/** Slots that requests may take which are not known yet. */
const CROWDED_SLOTS = 2;
/** Expected wait for each of these that a request takes. */
const CROWDED_WAIT_MS = 100;

/** What reading a part of a prompt costs the other work of an engine. */
export function pricePart(
  profile: EngineProfile,
  entry: EndpointEntry,
  load: EngineLoad,
  {readMs, turn, width, largeFleet}: SpreadPlan,
): PricedPart {
  const startInMs = turn === 'in_turn' ? load.freeInMs : 0;
  const delayLosses = new Map<Work, number>();
  let delayLoss = 0;
  for (const affected of load.affected) {
    const loss =
      turn === 'at_once' || affected.work.decoding
        ? nextPieceLoss(affected, readMs)
        : pauseLoss(entry, load, affected, readMs);
    delayLosses.set(affected.work, loss);
    delayLoss += loss;
  }
  // Parts of a spread prompt are read before everything else.
  const waitMs = width > 1 ? startInMs : load.backlogMs;
  const slotMs = slotWaitMs(load.requests + 1 - profile.slots, largeFleet);
  const readyMs = waitMs + readMs + slotMs;
  return {entry, load, delayLosses, delayLoss, startInMs, readyMs};
}

/** @param over requests beyond the slots; negative if slots are free */
function slotWaitMs(over: number, largeFleet: boolean): number {
  const waitMs = Math.max(0, over) * SLOT_WAIT_MS;
  if (!largeFleet) return waitMs;
  const taken = Math.min(CROWDED_SLOTS, Math.max(0, over + CROWDED_SLOTS));
  return waitMs + taken * CROWDED_WAIT_MS;
}

/** Loss of a work that is written by the time that more is read. */
function pauseLoss(
  entry: EndpointEntry,
  load: EngineLoad,
  {work, value}: AffectedWork,
  readMs: number,
): number {
  if (work.main !== entry.id) return 0;
  const late = addedMissProbability(load.passMs, readMs, work.gapMs);
  const lost = addedMissProbability(
    load.passMs,
    readMs,
    callerTimeoutMs(0, work.gapMs),
  );
  return value * (LATE_SHARE * late + (1 - LATE_SHARE) * lost);
}

/** Orders engines by what a part costs there, waiting included. */
export function partLoss({delayLoss, startInMs}: PricedPart): number {
  return delayLoss + (startInMs / 1_000) * LOSS_PER_SECOND;
}

/** Loss of a work whose next piece is delayed by so much more reading. */
function nextPieceLoss(affected: AffectedWork, readMs: number): number {
  const {
    work,
    value,
    expectedMs,
    headroomMs,
    limitMs,
    callerTimeoutMs: lost,
  } = affected;
  const delayMs = Math.max(0, readMs - headroomMs);
  const late = addedMissProbability(expectedMs, delayMs, limitMs);
  const givenUp = addedMissProbability(expectedMs, delayMs, lost);
  const waiting = work.decoding
    ? 0
    : (delayMs / 1_000) * READ_DELAY_LOSS_PER_SECOND;
  const share = LATE_SHARE * late + (1 - LATE_SHARE) * givenUp + waiting;
  return value * share;
}

/** Work that several parts delay is delayed once. */
export function totalDelayLoss(parts: PricedPart[]): number {
  const worst = new Map<Work, number>();
  for (const {delayLosses} of parts) {
    for (const [work, loss] of delayLosses) {
      worst.set(work, Math.max(loss, worst.get(work) ?? 0));
    }
  }
  return [...worst.values()].reduce((sum, loss) => sum + loss, 0);
}
