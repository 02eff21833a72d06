import type {EngineProfile} from '../configuration/engine_profile.js';
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

/** Engines that share the reading of a prompt. */
const WIDTHS = [1, 2, 3, 4, 6, 8, 10, 12, 14, 16];
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
      const choice = this.spread(req, candidates, width, shared, random);
      if (choice && (!best || choice.loss < best.loss)) best = choice;
      // Short prompts gain nothing from helpers.
      if (this.readMs(req, width) < this.profile.chunkTokens / 200) break;
    }
    return best;
  }

  private readMs(req: ChoiceRequest, width: number): number {
    return partReadMs(this.profile, req.promptTokens, width);
  }

  private spread(
    req: ChoiceRequest,
    candidates: EndpointCandidate[],
    width: number,
    shared: boolean,
    random: RandomSource,
  ): EndpointChoice | undefined {
    const readMs = this.readMs(req, width);
    const helperTokens = shared ? Math.ceil(req.promptTokens / width) : 0;
    const mainTokens =
      req.outputTokens + (shared ? helperTokens : req.promptTokens);
    const parts = candidates.flatMap(({entry, load}) =>
      load ? [this.price(entry, load, readMs, width > 1)] : [],
    );
    const mains = parts
      .filter(part => this.hasRoom(part.load, mainTokens))
      .map(part => ({
        part,
        loss:
          part.harm +
          this.mainLoss(req, part) +
          this.ownLoss(req, part.readyMs + this.tailMs(part.load)),
      }))
      .sort((a, b) => a.loss - b.loss || random() - 0.5);
    const main = mains[0];
    if (!main) return undefined;
    const helpers = parts
      .filter(
        part => part !== main.part && part.load.helps < this.profile.slots,
      )
      .filter(part => this.hasRoom(part.load, helperTokens))
      .sort((a, b) => a.harm - b.harm || a.readyMs - b.readyMs)
      .slice(0, width - 1);
    if (helpers.length < width - 1) return undefined;
    const readyMs = Math.max(
      main.part.readyMs,
      ...helpers.map(part => part.readyMs),
    );
    const expectedMs = readyMs + this.tailMs(main.part.load) + NETWORK_MS;
    const loss =
      totalHarm([main.part, ...helpers]) +
      this.mainLoss(req, main.part) +
      this.ownLoss(req, expectedMs) +
      helpers.length * LOSS_PER_HELPER;
    return {
      main: main.part.entry,
      helpers: helpers.map(({entry}) => entry),
      helperTokens,
      expectedMs: Math.round(expectedMs),
      usualGapMs: passMs(this.profile, 1, req.promptTokens / width),
      loss: Math.round(loss * 1_000) / 1_000,
      reason: `least loss on ${width} of ${candidates.length}`,
    };
  }

  private price(
    entry: EndpointEntry,
    load: EngineLoad,
    readMs: number,
    helped: boolean,
  ): PricedPart {
    const queuedMs = load.backlogMs + load.passMs;
    const harms = new Map<Work, number>();
    let harm = 0;
    for (const {work, value, limitMs, giveUpMs} of load.affected) {
      const late = addedLateness(queuedMs, readMs, limitMs);
      const lost = addedLateness(queuedMs, readMs, giveUpMs);
      const share = LATE_SHARE * late + (1 - LATE_SHARE) * lost;
      const loss = value * (share + delayLoss(work, readMs));
      harms.set(work, loss);
      harm += loss;
    }
    const boundaryMs = load.writers > 0 ? load.passMs : 0;
    // Parts of a spread prompt are read before everything else.
    const waitMs = helped ? 0 : load.backlogMs;
    const over = Math.max(0, load.requests + 1 - this.profile.slots);
    const readyMs = waitMs + boundaryMs + readMs + over * SLOT_WAIT_MS;
    return {entry, load, harms, harm, readyMs};
  }

  /** Time from the end of reading to the first piece. */
  private tailMs(load: EngineLoad): number {
    // The pass that is on when the last part is read ends first.
    const busy = load.writers > 0;
    const restMs = busy ? (load.passMs + load.backlogMs) / 2 : 0;
    return restMs + load.passMs;
  }

  private mainLoss(req: ChoiceRequest, {entry, load}: PricedPart): number {
    const far = entry.failureDomain !== this.failureDomain;
    const bytes = req.bodyBytes + req.outputTokens * BYTES_PER_TOKEN;
    const strict = req.gapMs <= STRICT_GAP_MS;
    return (
      (far ? bytes * LOSS_PER_FAR_BYTE : 0) +
      (strict && !load.strict ? FREE_ENGINE_VALUE : 0) +
      // Reading that is queued stretches the pauses of a stream that joins.
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

  private pauseLoss(req: ChoiceRequest, load: EngineLoad): number {
    const ms = passMs(this.profile, load.writers + 1, 0);
    const value = requestValue(req.promptTokens);
    return LATE_SHARE * value * lateness(ms, req.gapMs);
  }

  private hasRoom(load: EngineLoad, tokens: number): boolean {
    return load.heldTokens + tokens <= this.profile.memoryTokens;
  }
}

/** How much likelier a delay makes it that a limit is missed. */
function addedLateness(ms: number, delayMs: number, limitMs: number): number {
  return lateness(ms + delayMs, limitMs) - lateness(ms, limitMs);
}

/** A prompt that is being read loses worth with each second of delay. */
function delayLoss(work: Work, delayMs: number): number {
  return work.writing ? 0 : (delayMs / 1_000) * READ_DELAY_LOSS_PER_SECOND;
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
