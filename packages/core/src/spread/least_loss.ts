import type {ChoiceConditions} from './choice_conditions.js';
import type {EngineProfile} from '../configuration/engine_profile.js';
import type {EngineLoad} from '../engine_model/engine_load.js';
import {passMs} from '../engine_model/pass_cost.js';
import {prefillPartMs} from '../engine_model/prefill_cost.js';
import type {RandomSource} from '../types/random_source.js';
import type {ChoiceRequest} from './choice_request.js';
import type {EndpointCandidate} from './endpoint_candidate.js';
import type {EndpointChoice} from './endpoint_choice.js';
import {EndpointChooser} from './endpoint_chooser.js';
import {mainLoss} from './main_loss.js';
import {partLoss, pricePart, totalDelayLoss} from './price_part.js';
import type {PricedPart} from './priced_part.js';
import {requestLoss} from './request_loss.js';
import type {SpreadPlan} from './spread_plan.js';

/** Engines that share the reading of a prompt. */
const WIDTHS = [1, 2, 3, 4, 6, 8, 10, 12, 14, 16];
/** Ways to take turns with prompts that engines read already. */
const TURNS = ['at_once', 'in_turn'] as const;
/** Prompts that one engine reads sooner gain nothing from helpers. */
const LEAST_SPREAD_MS = 60;
/** Parts that take less to read gain nothing from more helpers. */
const LEAST_PART_MS = 30;
/**
 * Worth of an engine without strict streams, on which long prompts can be
 * read; a strict stream that goes there takes this away.
 */
const FREE_ENGINE_VALUE = 0.08;
/** Worth of the messages and waits that each helper adds. */
const LOSS_PER_HELPER = 0.004;
/**
 * Worth within which engines count as equal where many gateways choose at the
 * same time: otherwise all of them choose the same engine.
 */
const CROWDED_SPREAD = 0.015;
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
    conditions: ChoiceConditions,
  ): EndpointChoice | undefined {
    return (
      this.chooseWidth(req, candidates, false, conditions) ??
      this.chooseWidth(req, candidates, true, conditions)
    );
  }

  /** @param shared whether each helper stores its part of the prompt */
  private chooseWidth(
    req: ChoiceRequest,
    candidates: EndpointCandidate[],
    shared: boolean,
    conditions: ChoiceConditions,
  ): EndpointChoice | undefined {
    const {largeFleet, newlyStarted} = conditions;
    // Otherwise gateways that start together all prefer the same engine.
    const freeEngineValue = largeFleet && newlyStarted ? 0 : FREE_ENGINE_VALUE;
    let best: EndpointChoice | undefined;
    for (const width of WIDTHS) {
      if (width > candidates.length) break;
      if (shared && width === 1) continue;
      const readMs = this.readMs(req, width);
      for (const turn of TURNS) {
        // Alone, a prompt waits for its turn at the engine itself.
        if (turn === 'in_turn' && width === 1) continue;
        const plan = {width, shared, readMs, turn, largeFleet, freeEngineValue};
        const choice = this.spread(req, candidates, plan, conditions);
        if (choice && (!best || choice.loss < best.loss)) best = choice;
      }
      if (readMs < (width === 1 ? LEAST_SPREAD_MS : LEAST_PART_MS)) break;
    }
    return best;
  }

  private readMs(req: ChoiceRequest, width: number): number {
    return prefillPartMs(this.profile, req.promptTokens, width);
  }

  private spread(
    req: ChoiceRequest,
    candidates: EndpointCandidate[],
    plan: SpreadPlan,
    conditions: ChoiceConditions,
  ): EndpointChoice | undefined {
    const {width, shared} = plan;
    const helperTokens = shared ? Math.ceil(req.promptTokens / width) : 0;
    const mainTokens =
      req.outputTokens + (shared ? helperTokens : req.promptTokens);
    const parts = candidates.flatMap(({entry, load}) =>
      load ? [pricePart(this.profile, entry, load, plan)] : [],
    );
    const main = this.bestMain(
      req,
      parts.filter(({load}) => this.hasRoom(load, mainTokens)),
      plan,
      conditions.random,
    );
    if (!main) return undefined;
    const helpers = parts
      .filter(
        part => part !== main && part.load.helpedPrefills < this.profile.slots,
      )
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
      totalDelayLoss(chosen) +
      mainLoss(this.profile, this.failureDomain, req, main, plan) +
      requestLoss(req, expectedMs) +
      helpers.length * LOSS_PER_HELPER;
    return {
      main: main.entry,
      helpers: helpers.map(({entry}) => entry),
      helperTokens,
      startInMs: Math.round(startInMs),
      expectedMs: Math.round(expectedMs),
      baselineGapMs: passMs(this.profile, 1, req.promptTokens / width),
      loss: Math.round(loss * 1_000) / 1_000,
      reason: `least loss on ${width} of ${candidates.length}`,
    };
  }

  private bestMain(
    req: ChoiceRequest,
    parts: PricedPart[],
    plan: SpreadPlan,
    random: RandomSource,
  ): PricedPart | undefined {
    return parts
      .map(part => ({
        part,
        loss:
          part.delayLoss +
          mainLoss(this.profile, this.failureDomain, req, part, plan) +
          requestLoss(req, part.readyMs + this.tailMs(part)) +
          (plan.largeFleet ? random() * CROWDED_SPREAD : 0),
      }))
      .sort((a, b) => a.loss - b.loss || random() - 0.5)[0]?.part;
  }

  /** Time from the end of reading to the first piece. */
  private tailMs({load, startInMs}: PricedPart): number {
    if (load.decodingStreams > 0) return load.passMs * PASSES_TO_FIRST_PIECE;
    // Whatever is read before has become a stream that a pass writes.
    return load.backlogMs > startInMs ? load.passMs : 0;
  }

  private hasRoom(load: EngineLoad, tokens: number): boolean {
    return load.heldTokens + tokens <= this.profile.memoryTokens;
  }
}
