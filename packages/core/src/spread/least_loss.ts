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

/** Numbers of engines that may share the prefill of a prompt. */
const WIDTHS = [1, 2, 3, 4, 6, 8, 10, 12, 14, 16];
/** Whether a prefill starts before or after those of other prompts. */
const START_MODES = ['immediate', 'queued'] as const;
/** Shorter prefills gain nothing from helpers. */
const MIN_SPLIT_PREFILL_MS = 60;
/** Parts with a shorter prefill gain nothing from more helpers. */
const MIN_PART_PREFILL_MS = 30;
/**
 * Value of an engine without strict streams, where long prompts can be
 * prefilled; lost when a strict stream is sent there.
 */
const FREE_ENGINE_VALUE = 0.08;
/** Loss by the messages and waits that each helper adds. */
const LOSS_PER_HELPER = 0.004;
/**
 * Upper bound of the random loss added to each engine in a large fleet: engines
 * that differ by less count as equal. Without it, gateways that choose at the
 * same time all choose the same engine.
 */
const LARGE_FLEET_LOSS_JITTER = 0.015;
/** The rest of the current pass and the pass that decodes the piece. */
const PASSES_TO_FIRST_PIECE = 1.4;
/** Network round trip to an engine. */
const NETWORK_MS = 8;

/**
 * Chooses the engines on which a prompt causes the least expected loss: its
 * own loss by being late, and that of the streams and prefills it delays.
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

  /** @param sharded whether each helper stores its part of the prompt */
  private chooseWidth(
    req: ChoiceRequest,
    candidates: EndpointCandidate[],
    sharded: boolean,
    conditions: ChoiceConditions,
  ): EndpointChoice | undefined {
    const {largeFleet, newlyStarted} = conditions;
    // Otherwise gateways that start together all pick the same busy engine.
    const freeEngineValue = largeFleet && newlyStarted ? 0 : FREE_ENGINE_VALUE;
    let best: EndpointChoice | undefined;
    for (const width of WIDTHS) {
      if (width > candidates.length) break;
      if (sharded && width === 1) continue;
      const prefillMs = this.prefillMs(req, width);
      for (const startMode of START_MODES) {
        // A prompt on a single engine is queued by the engine itself.
        if (startMode === 'queued' && width === 1) continue;
        const plan = {
          width,
          sharded,
          prefillMs,
          startMode,
          largeFleet,
          freeEngineValue,
        };
        const choice = this.evaluate(req, candidates, plan, conditions);
        if (choice && (!best || choice.loss < best.loss)) best = choice;
      }
      const minMs = width === 1 ? MIN_SPLIT_PREFILL_MS : MIN_PART_PREFILL_MS;
      if (prefillMs < minMs) break;
    }
    return best;
  }

  private prefillMs(req: ChoiceRequest, width: number): number {
    return prefillPartMs(this.profile, req.promptTokens, width);
  }

  private evaluate(
    req: ChoiceRequest,
    candidates: EndpointCandidate[],
    plan: SpreadPlan,
    conditions: ChoiceConditions,
  ): EndpointChoice | undefined {
    const {width, sharded} = plan;
    const helperTokens = sharded ? Math.ceil(req.promptTokens / width) : 0;
    const mainTokens =
      req.outputTokens + (sharded ? helperTokens : req.promptTokens);
    const parts = candidates.flatMap(({entry, load}) =>
      load ? [pricePart(this.profile, entry, load, plan)] : [],
    );
    const main = this.bestMain(
      req,
      parts.filter(({load}) => this.hasMemory(load, mainTokens)),
      plan,
      conditions.random,
    );
    if (!main) return undefined;
    const helpers = parts
      .filter(
        part => part !== main && part.load.helpedPrefills < this.profile.slots,
      )
      .filter(part => this.hasMemory(part.load, helperTokens))
      .sort((a, b) => partLoss(a) - partLoss(b) || a.readyMs - b.readyMs)
      .slice(0, width - 1);
    if (helpers.length < width - 1) return undefined;
    const chosen = [main, ...helpers];
    const startInMs = Math.max(...chosen.map(part => part.startInMs));
    // All parts start together, once the last engine is free.
    const readyMs = Math.max(
      ...chosen.map(part => part.readyMs - part.startInMs + startInMs),
    );
    const expectedMs = readyMs + this.postPrefillMs(main) + NETWORK_MS;
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
      expectedGaps: req.outputTokens / this.profile.stepsPerPass,
      loss: Math.round(loss * 1_000) / 1_000,
      queued: main.load.requests >= this.profile.slots,
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
          requestLoss(req, part.readyMs + this.postPrefillMs(part)) +
          (plan.largeFleet ? random() * LARGE_FLEET_LOSS_JITTER : 0),
      }))
      .sort((a, b) => a.loss - b.loss || random() - 0.5)[0]?.part;
  }

  /** Time from the end of the prefill to the first piece. */
  private postPrefillMs({load, startInMs}: PricedPart): number {
    if (load.decodingStreams > 0) return load.passMs * PASSES_TO_FIRST_PIECE;
    // Prompts that are prefilled before have become streams by then.
    return load.backlogMs > startInMs ? load.passMs : 0;
  }

  private hasMemory(load: EngineLoad, tokens: number): boolean {
    return load.heldTokens + tokens <= this.profile.memoryTokens;
  }
}
