import type {EndpointView} from '../endpoints/endpoint_view.js';
import {queuedPrefillTokens} from '../endpoints/queued_prefill_tokens.js';
import type {RandomSource} from '../types/random_source.js';
import {createBestRates} from './best_rates.js';
import type {CachedPrefix} from './cached_prefix.js';
import {createLongShare} from './long_share.js';
import {createLongSubset} from './long_subset.js';
import {pickNearBest} from './near_best.js';
import {createPrefillRates} from './prefill_rates.js';
import {prefillWork} from './prefill_work.js';
import type {RouteChoice} from './route_choice.js';
import type {RouteCosts} from './route_costs.js';
import type {RouteRequest} from './route_request.js';
import {RoutingStrategy} from './routing_strategy.js';

/** An engine with this much queued gets no more; requests wait here. */
const MAX_QUEUED_TOKENS = 16_384;
/** An engine of the long subset with less than this queued counts as idle. */
const IDLE_TOKENS = 2_048;
/**
 * Risk that another router starts a long prompt on a lent engine before the
 * next report, times the wait behind it.
 */
const LENT_RISK_MS = 1_000;
/** Round trip to another failure domain plus a charge for the traffic. */
const OTHER_DOMAIN_MS = 10;
/** Slowdown of prefill by each stream that decodes beside it. */
const SLOWDOWN_PER_STREAM = 0.01;
/** Spreads requests without prefill, such as calls of plain services. */
const STREAM_MS = 0.5;

/** Dependencies of the strategy. */
export interface ExpectedCostParts {
  failureDomain: string;
  longPromptTokens: number;
  cachedPrefix: CachedPrefix;
}

/** The endpoint with the lowest expected time to first token. */
export class ExpectedCost extends RoutingStrategy {
  private readonly rates = createPrefillRates();
  private readonly bestRates = createBestRates();
  private readonly share = createLongShare();
  private readonly subset = createLongSubset();

  constructor(private readonly parts: ExpectedCostParts) {
    super();
  }

  override choose(
    req: RouteRequest,
    candidates: EndpointView[],
    random: RandomSource,
  ): RouteChoice | undefined {
    const size = this.share.subsetSize(req.service, candidates.length);
    const subset = this.subset(req.service, candidates, size);
    const long = this.isLong(req);
    const eligible = long ? candidates.filter(c => subset.has(c)) : candidates;
    // A subset of all engines is shared, not lent.
    const lends = !long && subset.size < candidates.length;
    const choices = this.preferUntried(req, eligible)
      .filter(view => this.hasCapacity(req, view, lends && subset.has(view)))
      .map(view => this.estimate(req, view, lends && subset.has(view)));
    return pickNearBest(choices, random);
  }

  override admitted(req: RouteRequest, nowMs: number): void {
    const work = prefillWork(req.promptTokens);
    const {service, objective} = req;
    this.share.record(service, work, this.isLong(req), objective, nowMs);
  }

  override firstToken(choice: RouteChoice, elapsedMs: number): void {
    const {endpoint, costs} = choice;
    if (!costs || costs.work <= 0) return;
    const ms = elapsedMs - costs.decodeMs - costs.domainMs;
    const expectedMs = costs.queueMs + costs.prefillMs;
    this.rates.observe(endpoint, costs.work, ms, expectedMs);
    const {service} = endpoint.row;
    const rate = costs.work / Math.max(1, ms);
    this.bestRates.observe(service, costs.promptTokens, rate);
  }

  override bestCaseMs(service: string, promptTokens: number): number {
    const rate = this.bestRates.rate(service, promptTokens);
    return rate === undefined ? 0 : prefillWork(promptTokens) / rate;
  }

  private isLong(req: RouteRequest): boolean {
    return req.promptTokens > this.parts.longPromptTokens;
  }

  private hasCapacity(
    req: RouteRequest,
    view: EndpointView,
    lent: boolean,
  ): boolean {
    if (view.row.kind === 'service') return true;
    const limit = lent ? IDLE_TOKENS : MAX_QUEUED_TOKENS;
    if (queuedPrefillTokens(view) >= limit) return false;
    const capacity = view.row.kvCapacityTokens;
    const used = (view.report?.kvUsedTokens ?? 0) + view.sentTokens;
    // Larger prompts are spread over several engines by reservations.
    return req.promptTokens > capacity || used + req.promptTokens <= capacity;
  }

  private estimate(
    req: RouteRequest,
    view: EndpointView,
    lent: boolean,
  ): RouteChoice {
    const costs = this.costs(req, view);
    const {queueMs, prefillMs, decodeMs, domainMs} = costs;
    const riskMs = lent ? LENT_RISK_MS : 0;
    return {
      endpoint: view,
      costMs: Math.round(queueMs + prefillMs + decodeMs + domainMs + riskMs),
      costs,
      reason: lent ? 'idle engine of the long subset' : 'lowest expected cost',
    };
  }

  private costs(req: RouteRequest, view: EndpointView): RouteCosts {
    const rate = this.rates.rate(view);
    const cached = this.parts.cachedPrefix(view.row.name, req.prefixHashes);
    const cachedTokens = Math.min(cached, req.promptTokens);
    const queued = queuedPrefillTokens(view);
    const own = prefillWork(req.promptTokens, cachedTokens);
    const streams = Math.max(view.report?.decodeStreams ?? 0, view.outstanding);
    const queueMs = queued / rate;
    const prefillMs = own / rate;
    const slowdown = (queueMs + prefillMs) * SLOWDOWN_PER_STREAM;
    const local = view.row.failureDomain === this.parts.failureDomain;
    return {
      queueMs,
      prefillMs,
      decodeMs: streams * (slowdown + STREAM_MS),
      domainMs: local ? 0 : OTHER_DOMAIN_MS,
      cachedTokens,
      work: queued + own,
      promptTokens: req.promptTokens,
    };
  }
}
