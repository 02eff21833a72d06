import type {EngineProfile} from '../configuration/engine_profile.js';
import type {AffectedWork} from '../engine_model/affected_work.js';
import type {EngineLoad} from '../engine_model/engine_load.js';
import {STRICT_GAP_MS} from '../engine_model/estimate_load.js';
import {giveUpMs} from '../engine_model/give_up_time.js';
import {lateness} from '../engine_model/lateness.js';
import {passMs} from '../engine_model/pass_cost.js';
import {partReadMs} from '../engine_model/read_cost.js';
import {requestValue} from '../engine_model/request_value.js';
import type {Work} from '../fleet/work.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import type {RandomSource} from '../types/random_source.js';
import type {ChoiceRequest} from './choice_request.js';
import type {EndpointCandidate} from './endpoint_candidate.js';
import type {EndpointChoice} from './endpoint_choice.js';
import {EndpointChooser} from './endpoint_chooser.js';
import type {PricedPart} from './priced_part.js';
import type {SpreadPlan} from './spread_plan.js';

/** Engines that share the reading of a prompt. */
const WIDTHS = [1, 2, 3, 4, 6, 8, 10, 12, 14, 16];
/** Ways to take turns with prompts that engines read already. */
const TURNS = ['at_once', 'in_turn'] as const;
/** Prompts that one engine reads sooner gain nothing from helpers. */
const LEAST_SPREAD_MS = 60;
/** Parts that take less to read gain nothing from more helpers. */
const LEAST_PART_MS = 30;
/** Share of a request's worth that is lost if it is late. */
const LATE_SHARE = 0.75;
/** Worth of a second, to prefer what is faster among what is in time. */
const LOSS_PER_SECOND = 0.1;
/** Share of its worth that a prompt loses for each second of waiting. */
const READ_DELAY_LOSS_PER_SECOND = 0.03;
/** Worth of a byte that crosses failure domains. */
const LOSS_PER_FAR_BYTE = 2e-6;
/** Bytes of a stream for each token of its answer. */
const BYTES_PER_TOKEN = 1.8;
/**
 * Worth of an engine without strict streams, on which long prompts can be
 * read; a strict stream that goes there takes this away.
 */
const FREE_ENGINE_VALUE = 0.08;
/** Wait for each request beyond the slots of an engine. */
const SLOT_WAIT_MS = 300;
/** Worth of the messages and waits that each helper adds. */
const LOSS_PER_HELPER = 0.004;
/** The rest of the pass that is on, and the pass that writes the piece. */
const PASSES_TO_FIRST_PIECE = 1.4;
/** Time on the network to an engine and back. */
const NETWORK_MS = 8;

/**
 * The engines on which a prompt costs the least worth: of itself by being
 * late, and of the streams whose pauses its reading stretches.
 */
export class LeastLoss extends EndpointChooser {
  constructor(
    private readonly failureDomain: string,
    private readonly profile: EngineProfile,
  ) {
    super();
  }

  override choose(
    req: ChoiceRequest,
    candidates: EndpointCandidate[],
    random: RandomSource,
  ): EndpointChoice | undefined {
    return (
      this.chooseWidth(req, candidates, false, random) ??
      this.chooseWidth(req, candidates, true, random)
    );
  }

  /** @param shared whether each helper stores its part of the prompt */
  private chooseWidth(
    req: ChoiceRequest,
    candidates: EndpointCandidate[],
    shared: boolean,
    random: RandomSource,
  ): EndpointChoice | undefined {
    let best: EndpointChoice | undefined;
    for (const width of WIDTHS) {
      if (width > candidates.length) break;
      if (shared && width === 1) continue;
      const readMs = this.readMs(req, width);
      for (const turn of TURNS) {
        // Alone, a prompt waits for its turn at the engine itself.
        if (turn === 'in_turn' && width === 1) continue;
        const plan = {width, shared, readMs, turn};
        const choice = this.spread(req, candidates, plan, random);
        if (choice && (!best || choice.loss < best.loss)) best = choice;
      }
      if (readMs < (width === 1 ? LEAST_SPREAD_MS : LEAST_PART_MS)) break;
    }
    return best;
  }

  private readMs(req: ChoiceRequest, width: number): number {
    return partReadMs(this.profile, req.promptTokens, width);
  }

  private spread(
    req: ChoiceRequest,
    candidates: EndpointCandidate[],
    plan: SpreadPlan,
    random: RandomSource,
  ): EndpointChoice | undefined {
    const {width, shared} = plan;
    const helperTokens = shared ? Math.ceil(req.promptTokens / width) : 0;
    const mainTokens =
      req.outputTokens + (shared ? helperTokens : req.promptTokens);
    const parts = candidates.flatMap(({entry, load}) =>
      load ? [this.price(entry, load, plan)] : [],
    );
    const main = this.bestMain(
      req,
      parts.filter(({load}) => this.hasRoom(load, mainTokens)),
      random,
    );
    if (!main) return undefined;
    const helpers = parts
      .filter(part => part !== main && part.load.helps < this.profile.slots)
      .filter(part => this.hasRoom(part.load, helperTokens))
      .sort((a, b) => partLoss(a) - partLoss(b) || a.readyMs - b.readyMs)
      .slice(0, width - 1);
    if (helpers.length < width - 1) return undefined;
    const chosen = [main, ...helpers];
    const startInMs = Math.max(...chosen.map(part => part.startInMs));
    // What waits for the last engine is read at once on the others.
    const readyMs = Math.max(
      ...chosen.map(part => part.readyMs - part.startInMs + startInMs),
    );
    const expectedMs = readyMs + this.tailMs(main) + NETWORK_MS;
    const loss =
      totalHarm(chosen) +
      this.mainLoss(req, main) +
      this.ownLoss(req, expectedMs) +
      helpers.length * LOSS_PER_HELPER;
    return {
      main: main.entry,
      helpers: helpers.map(({entry}) => entry),
      helperTokens,
      startInMs: Math.round(startInMs),
      expectedMs: Math.round(expectedMs),
      usualGapMs: passMs(this.profile, 1, req.promptTokens / width),
      loss: Math.round(loss * 1_000) / 1_000,
      reason: `least loss on ${width} of ${candidates.length}`,
    };
  }

  private bestMain(
    req: ChoiceRequest,
    parts: PricedPart[],
    random: RandomSource,
  ): PricedPart | undefined {
    return parts
      .map(part => ({
        part,
        loss:
          part.harm +
          this.mainLoss(req, part) +
          this.ownLoss(req, part.readyMs + this.tailMs(part)),
      }))
      .sort((a, b) => a.loss - b.loss || random() - 0.5)[0]?.part;
  }

  private price(
    entry: EndpointEntry,
    load: EngineLoad,
    {readMs, turn, width}: SpreadPlan,
  ): PricedPart {
    const startInMs = turn === 'in_turn' ? load.freeInMs : 0;
    const harms = new Map<Work, number>();
    let harm = 0;
    for (const affected of load.affected) {
      const loss =
        turn === 'at_once' || affected.work.writing
          ? delayLoss(affected, readMs)
          : this.pauseHarm(entry, load, affected, readMs);
      harms.set(affected.work, loss);
      harm += loss;
    }
    // Parts of a spread prompt are read before everything else.
    const waitMs = width > 1 ? startInMs : load.backlogMs;
    const over = Math.max(0, load.requests + 1 - this.profile.slots);
    const readyMs = waitMs + readMs + over * SLOT_WAIT_MS;
    return {entry, load, harms, harm, startInMs, readyMs};
  }

  /** Loss of a work that is written by the time that more is read. */
  private pauseHarm(
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

  /** Time from the end of reading to the first piece. */
  private tailMs({load, startInMs}: PricedPart): number {
    if (load.writers > 0) return load.passMs * PASSES_TO_FIRST_PIECE;
    // Whatever is read before has become a stream that a pass writes.
    return load.backlogMs > startInMs ? load.passMs : 0;
  }

  private mainLoss(req: ChoiceRequest, {entry, load}: PricedPart): number {
    const far = entry.failureDomain !== this.failureDomain;
    const bytes = req.bodyBytes + req.outputTokens * BYTES_PER_TOKEN;
    const strict = req.gapMs <= STRICT_GAP_MS;
    return (
      (far ? bytes * LOSS_PER_FAR_BYTE : 0) +
      (strict && !load.strict ? FREE_ENGINE_VALUE : 0) +
      this.pauseLoss(req, load)
    );
  }

  /** Loss of the request itself if its first piece comes at that time. */
  private ownLoss(req: ChoiceRequest, expectedMs: number): number {
    const value = requestValue(req.promptTokens);
    const late = lateness(expectedMs, req.dueInMs);
    const lost = lateness(expectedMs, giveUpMs(req.dueInMs, req.gapMs));
    return (
      value * (LATE_SHARE * late + (1 - LATE_SHARE) * lost) +
      (expectedMs / 1_000) * LOSS_PER_SECOND
    );
  }

  /** Loss of a stream that joins the engine by pauses between its pieces. */
  private pauseLoss(req: ChoiceRequest, load: EngineLoad): number {
    const ms = passMs(this.profile, load.writers + 1, 0) + load.plannedMs;
    const value = requestValue(req.promptTokens);
    return LATE_SHARE * value * lateness(ms, req.gapMs);
  }

  private hasRoom(load: EngineLoad, tokens: number): boolean {
    return load.heldTokens + tokens <= this.profile.memoryTokens;
  }
}

/** Orders engines by what a part costs there, waiting included. */
function partLoss({harm, startInMs}: PricedPart): number {
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

/** How much likelier a delay makes it that a limit is missed. */
function addedLateness(ms: number, delayMs: number, limitMs: number): number {
  return lateness(ms + delayMs, limitMs) - lateness(ms, limitMs);
}

/** Work that several parts delay is delayed once. */
function totalHarm(parts: PricedPart[]): number {
  const worst = new Map<Work, number>();
  for (const {harms} of parts) {
    for (const [work, loss] of harms) {
      worst.set(work, Math.max(loss, worst.get(work) ?? 0));
    }
  }
  return [...worst.values()].reduce((sum, loss) => sum + loss, 0);
}
