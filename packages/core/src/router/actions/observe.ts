import type {MetricName} from '../../shared/metric_name.js';

/** Adds to a counter, sets a gauge or feeds a histogram. */
export interface Observe {
  kind: 'observe';
  metric: MetricName;
  labels: Record<string, string>;
  value: number;
}
