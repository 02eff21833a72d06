import type {METRICS} from './metrics.js';

/** Name of a metric, without the `wl_` prefix. */
export type MetricName = keyof typeof METRICS;
