import type {EstimateTable} from './estimate_table.js';
import {
  createLearnedEstimates,
  type LearnedEstimates,
} from './learned_estimates.js';

/** Routes times customers that are kept; some 50 bytes each. */
const MAX_ROUTE_KEYS = 512;
/** Endpoints that are kept. */
const MAX_ENDPOINT_KEYS = 256;
/** Lengths and service times change slowly. */
const ROUTE_WEIGHT = 50;
/** The speed of an endpoint changes within a second. */
const ENDPOINT_WEIGHT = 10;

/** All estimates of a gateway, by table. */
export type WorkTables = Record<EstimateTable, LearnedEstimates>;

/** Creates empty tables. */
export function createWorkTables(): WorkTables {
  const byRoute = {maxKeys: MAX_ROUTE_KEYS, maxWeight: ROUTE_WEIGHT};
  return {
    length: createLearnedEstimates({...byRoute, firstVariance: 1}),
    declared: createLearnedEstimates({...byRoute, firstVariance: 0.25}),
    service: createLearnedEstimates({...byRoute, firstVariance: 0.25}),
    slowness: createLearnedEstimates({
      maxKeys: MAX_ENDPOINT_KEYS,
      maxWeight: ENDPOINT_WEIGHT,
      firstVariance: 0.5,
    }),
  };
}
