import type {EngineProfile} from '../configuration/engine_profile.js';
import type {AffectedWork} from '../engine_model/affected_work.js';
import type {EngineLoad} from '../engine_model/engine_load.js';
import {callerTimeoutMs} from '../engine_model/caller_timeout.js';
import type {Work} from '../fleet/work.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import {addedMissProbability} from './added_miss_probability.js';
import {LATE_LOSS_SHARE, LOSS_PER_SECOND} from './loss_shares.js';
import type {PricedPart} from './priced_part.js';
import type {SpreadPlan} from './spread_plan.js';

/** Share of its value that a prompt loses per second of prefill delay. */
const PREFILL_DELAY_LOSS_PER_SECOND = 0.03;
/** Expected wait per request beyond the slots of an engine. */
const SLOT_WAIT_MS = 300;
/** Slots that peers' choices not known yet may take in a large fleet. */
const LARGE_FLEET_SPARE_SLOTS = 2;
/** Expected wait for each of these slots that a request takes. */
const SPARE_SLOT_WAIT_MS = 100;

/** Estimates what a prompt part costs the other work of its engine. */
export function pricePart(
  profile: EngineProfile,
  entry: EndpointEntry,
  load: EngineLoad,
  {prefillMs, startMode, width, largeFleet}: SpreadPlan,
): PricedPart {
  const startInMs = startMode === 'queued' ? load.freeInMs : 0;
  const delayLosses = new Map<Work, number>();
  let delayLoss = 0;
  for (const affected of load.affected) {
    const loss =
      startMode === 'immediate' || affected.work.decoding
        ? nextPieceLoss(affected, prefillMs)
        : gapLoss(entry, load, affected, prefillMs);
    delayLosses.set(affected.work, loss);
    delayLoss += loss;
  }
  // Engines prefill parts of a split prompt before everything else.
  const waitMs = width > 1 ? startInMs : load.backlogMs;
  const slotMs = slotWaitMs(load.requests + 1 - profile.slots, largeFleet);
  const readyMs = waitMs + prefillMs + slotMs;
  return {entry, load, delayLosses, delayLoss, startInMs, readyMs};
}

/** @param excess requests beyond the slots; negative if slots are free */
function slotWaitMs(excess: number, largeFleet: boolean): number {
  const waitMs = Math.max(0, excess) * SLOT_WAIT_MS;
  if (!largeFleet) return waitMs;
  const taken = Math.min(
    LARGE_FLEET_SPARE_SLOTS,
    Math.max(0, excess + LARGE_FLEET_SPARE_SLOTS),
  );
  return waitMs + taken * SPARE_SLOT_WAIT_MS;
}

/** Loss of work that decodes by the time the queued part is prefilled. */
function gapLoss(
  entry: EndpointEntry,
  load: EngineLoad,
  {work, value}: AffectedWork,
  prefillMs: number,
): number {
  if (work.main !== entry.id) return 0;
  const late = addedMissProbability(load.passMs, prefillMs, work.gapMs);
  const timedOut = addedMissProbability(
    load.passMs,
    prefillMs,
    callerTimeoutMs(0, work.gapMs),
  );
  return value * (LATE_LOSS_SHARE * late + (1 - LATE_LOSS_SHARE) * timedOut);
}

/** Loss that a part causes on its engine, including the wait. */
export function partLoss({delayLoss, startInMs}: PricedPart): number {
  return delayLoss + (startInMs / 1_000) * LOSS_PER_SECOND;
}

/** Loss of work whose next piece an added prefill delays. */
function nextPieceLoss(affected: AffectedWork, prefillMs: number): number {
  const {
    work,
    value,
    expectedMs,
    headroomMs,
    limitMs,
    callerTimeoutMs: timeoutMs,
  } = affected;
  const delayMs = Math.max(0, prefillMs - headroomMs);
  const late = addedMissProbability(expectedMs, delayMs, limitMs);
  const timedOut = addedMissProbability(expectedMs, delayMs, timeoutMs);
  const waiting = work.decoding
    ? 0
    : (delayMs / 1_000) * PREFILL_DELAY_LOSS_PER_SECOND;
  const share =
    LATE_LOSS_SHARE * late + (1 - LATE_LOSS_SHARE) * timedOut + waiting;
  return value * share;
}

/** Sums delay losses; of several delays of one work the worst counts. */
export function totalDelayLoss(parts: PricedPart[]): number {
  const worst = new Map<Work, number>();
  for (const {delayLosses} of parts) {
    for (const [work, loss] of delayLosses) {
      worst.set(work, Math.max(loss, worst.get(work) ?? 0));
    }
  }
  return [...worst.values()].reduce((sum, loss) => sum + loss, 0);
}
