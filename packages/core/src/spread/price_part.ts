import type {EngineProfile} from '../configuration/engine_profile.js';
import type {AffectedWork} from '../engine_model/affected_work.js';
import type {EngineLoad} from '../engine_model/engine_load.js';
import {giveUpMs} from '../engine_model/give_up_time.js';
import type {Work} from '../fleet/work.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import {addedLateness} from './added_lateness.js';
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
  {readMs, turn, width, crowded}: SpreadPlan,
): PricedPart {
  const startInMs = turn === 'in_turn' ? load.freeInMs : 0;
  const harms = new Map<Work, number>();
  let harm = 0;
  for (const affected of load.affected) {
    const loss =
      turn === 'at_once' || affected.work.writing
        ? delayLoss(affected, readMs)
        : pauseHarm(entry, load, affected, readMs);
    harms.set(affected.work, loss);
    harm += loss;
  }
  // Parts of a spread prompt are read before everything else.
  const waitMs = width > 1 ? startInMs : load.backlogMs;
  const slotMs = slotWaitMs(load.requests + 1 - profile.slots, crowded);
  const readyMs = waitMs + readMs + slotMs;
  return {entry, load, harms, harm, startInMs, readyMs};
}

/** @param over requests beyond the slots; negative if slots are free */
function slotWaitMs(over: number, crowded: boolean): number {
  const waitMs = Math.max(0, over) * SLOT_WAIT_MS;
  if (!crowded) return waitMs;
  const taken = Math.min(CROWDED_SLOTS, Math.max(0, over + CROWDED_SLOTS));
  return waitMs + taken * CROWDED_WAIT_MS;
}

/** Loss of a work that is written by the time that more is read. */
function pauseHarm(
  entry: EndpointEntry,
  load: EngineLoad,
  {work, value}: AffectedWork,
  readMs: number,
): number {
  if (work.main !== entry.id) return 0;
  const late = addedLateness(load.passMs, readMs, work.gapMs);
  const lost = addedLateness(load.passMs, readMs, giveUpMs(0, work.gapMs));
  return value * (LATE_SHARE * late + (1 - LATE_SHARE) * lost);
}

/** Orders engines by what a part costs there, waiting included. */
export function partLoss({harm, startInMs}: PricedPart): number {
  return harm + (startInMs / 1_000) * LOSS_PER_SECOND;
}

/** Loss of a work whose next piece is delayed by so much more reading. */
function delayLoss(affected: AffectedWork, readMs: number): number {
  const {work, value, expectedMs, slackMs, limitMs, giveUpMs: lost} = affected;
  const delayMs = Math.max(0, readMs - slackMs);
  const late = addedLateness(expectedMs, delayMs, limitMs);
  const givenUp = addedLateness(expectedMs, delayMs, lost);
  const waiting = work.writing
    ? 0
    : (delayMs / 1_000) * READ_DELAY_LOSS_PER_SECOND;
  const share = LATE_SHARE * late + (1 - LATE_SHARE) * givenUp + waiting;
  return value * share;
}

/** Work that several parts delay is delayed once. */
export function totalHarm(parts: PricedPart[]): number {
  const worst = new Map<Work, number>();
  for (const {harms} of parts) {
    for (const [work, loss] of harms) {
      worst.set(work, Math.max(loss, worst.get(work) ?? 0));
    }
  }
  return [...worst.values()].reduce((sum, loss) => sum + loss, 0);
}
