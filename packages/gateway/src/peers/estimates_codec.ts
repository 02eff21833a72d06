import type {MessageInitShape} from '@bufbuild/protobuf';
import type {WorkEstimates} from '@wisterialadder/core/fleet/messages/work_estimates.js';
import {ESTIMATE_TABLES} from '@wisterialadder/core/work_model/estimate_table.js';
import type {WorkEstimate} from '@wisterialadder/core/work_model/work_estimate.js';
import type {
  WorkEstimate as WireEstimate,
  WorkEstimates as WireEstimates,
  WorkEstimatesSchema,
} from '../gen/gateway_pb.js';

/** Logarithms of lengths, times and ratios are far below this. */
const MAX_MAGNITUDE = 50;

/** Encodes what a gateway has learned. */
export function encodeWorkEstimates({
  wantsAll,
  estimates,
}: WorkEstimates): MessageInitShape<typeof WorkEstimatesSchema> {
  const encoded = estimates.map(({table, ...rest}) => ({
    table: ESTIMATE_TABLES.indexOf(table),
    ...rest,
  }));
  return {wantsAll, estimates: encoded};
}

/** Decodes it, without estimates of unknown tables or of no size. */
export function decodeWorkEstimates({
  wantsAll,
  estimates,
}: WireEstimates): WorkEstimates {
  const decoded = estimates.flatMap(estimate => decodeEstimate(estimate) ?? []);
  return {kind: 'work_estimates', wantsAll, estimates: decoded};
}

function decodeEstimate(wire: WireEstimate): WorkEstimate | undefined {
  const {key, mean, variance, weight} = wire;
  const table = ESTIMATE_TABLES[wire.table];
  const sound =
    Math.abs(mean) <= MAX_MAGNITUDE &&
    variance >= 0 &&
    variance <= MAX_MAGNITUDE &&
    weight >= 1 &&
    weight <= MAX_MAGNITUDE;
  return table && sound ? {table, key, mean, variance, weight} : undefined;
}
