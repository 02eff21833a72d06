import type {EngineProfile} from '../configuration/engine_profile.js';
import type {EngineLoad} from '../engine_model/engine_load.js';
import {STRICT_GAP_MS} from '../engine_model/estimate_load.js';
import {missProbability} from '../engine_model/miss_probability.js';
import {passMs} from '../engine_model/pass_cost.js';
import {requestValue} from '../engine_model/request_value.js';
import type {ChoiceRequest} from './choice_request.js';
import {LATE_LOSS_SHARE} from './loss_shares.js';
import type {PricedPart} from './priced_part.js';
import type {SpreadPlan} from './spread_plan.js';

/** Loss per byte that crosses failure domains. */
const LOSS_PER_CROSS_DOMAIN_BYTE = 2e-6;
/** Bytes of a stream per output token. */
const BYTES_PER_TOKEN = 1.8;

/**
 * Loss if an engine answers a request, without the cost of the prefill there.
 * @param failureDomain of this gateway
 */
export function mainLoss(
  profile: EngineProfile,
  failureDomain: string,
  req: ChoiceRequest,
  {entry, load}: PricedPart,
  {freeEngineValue}: SpreadPlan,
): number {
  const crossesDomains = entry.failureDomain !== failureDomain;
  const bytes = req.bodyBytes + req.outputTokens * BYTES_PER_TOKEN;
  const strict = req.gapMs <= STRICT_GAP_MS;
  return (
    (crossesDomains ? bytes * LOSS_PER_CROSS_DOMAIN_BYTE : 0) +
    (strict && !load.hasStrictStream ? freeEngineValue : 0) +
    gapLoss(profile, req, load)
  );
}

/** Loss of the request's own stream by gaps between its pieces. */
function gapLoss(
  profile: EngineProfile,
  req: ChoiceRequest,
  load: EngineLoad,
): number {
  const ms =
    passMs(profile, load.decodingStreams + 1, 0) + load.longestPlannedPrefillMs;
  const value = requestValue(req.promptTokens);
  return LATE_LOSS_SHARE * value * missProbability(ms, req.gapMs);
}
