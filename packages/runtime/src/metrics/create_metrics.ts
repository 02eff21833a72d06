import {
  Counter,
  Gauge,
  Histogram,
  Registry,
  collectDefaultMetrics,
} from 'prom-client';
import {METRICS} from '@wisterialadder/core/shared/metrics.js';
import type {MetricName} from '@wisterialadder/core/shared/metric_name.js';

const EVENT_LOOP_PRECISION_MS = 10;
const LATENCY_BUCKETS_MS = [
  5, 10, 20, 50, 100, 200, 300, 500, 1_000, 2_000, 5_000, 10_000, 30_000,
  60_000, 300_000,
];

/** Metrics of a process in the Prometheus text format. */
export interface Metrics {
  observe(
    name: MetricName,
    labels: Record<string, string>,
    value: number,
  ): void;
  /** Reads the value of a gauge each time the metrics are exposed. */
  sample(name: MetricName, read: () => number): void;
  /** Text exposition of all metrics. */
  text(): Promise<string>;
}

/**
 * Creates every metric of the catalogue in a registry of its own.
 * @param precisionMs sampling interval of the event loop delay
 */
export function createMetrics(precisionMs = EVENT_LOOP_PRECISION_MS): Metrics {
  const registry = new Registry();
  collectDefaultMetrics({
    register: registry,
    eventLoopMonitoringPrecision: precisionMs,
  });
  const byName = new Map<string, Counter | Gauge | Histogram>();
  const samples = new Map<MetricName, () => number>();
  for (const [name, def] of Object.entries(METRICS)) {
    const options = {
      name: `wl_${name}`,
      help: def.help,
      labelNames: [...def.labels],
      registers: [registry],
    };
    byName.set(name, createMetric(def.type, options));
  }

  function observe(
    name: MetricName,
    labels: Record<string, string>,
    value: number,
  ): void {
    const metric = byName.get(name);
    if (metric instanceof Counter) metric.inc(labels, value);
    else if (metric instanceof Gauge) metric.set(labels, value);
    else metric?.observe(labels, value);
  }

  return {
    observe,
    sample: (name, read) => samples.set(name, read),
    text: () => {
      for (const [name, read] of samples) observe(name, {}, read());
      return registry.metrics();
    },
  };
}

function createMetric(
  type: 'counter' | 'gauge' | 'histogram',
  options: {
    name: string;
    help: string;
    labelNames: string[];
    registers: Registry[];
  },
): Counter | Gauge | Histogram {
  switch (type) {
    case 'counter':
      return new Counter(options);
    case 'gauge':
      return new Gauge(options);
    case 'histogram':
      return new Histogram({...options, buckets: LATENCY_BUCKETS_MS});
  }
}
