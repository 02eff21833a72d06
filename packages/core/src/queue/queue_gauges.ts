import type {RouterContext} from '../router/router_context.js';
import type {RouterFeature} from '../router/router_feature.js';
import type {RequestQueue} from './request_queue.js';

const INTERVAL_MS = 1_000;

/** Values of one class. */
interface ClassGauge {
  waiting: number;
  oldestMs: number;
}

/** Emits count and maximum age of waiting requests by class once a second. */
export function createQueueGauges(queue: RequestQueue): RouterFeature {
  const knownClasses = new Set<string>();
  let dueMs = 0;

  function measure(nowMs: number): Map<string, ClassGauge> {
    // A class whose last request has left the queue is reset to 0.
    const gauges = new Map<string, ClassGauge>(
      [...knownClasses].map(name => [name, {waiting: 0, oldestMs: 0}]),
    );
    for (const {className, arrivedMs} of queue.entries()) {
      const gauge = gauges.get(className) ?? {waiting: 0, oldestMs: 0};
      gauge.waiting += 1;
      gauge.oldestMs = Math.max(gauge.oldestMs, nowMs - arrivedMs);
      gauges.set(className, gauge);
    }
    return gauges;
  }

  function expire(ctx: RouterContext): void {
    if (ctx.nowMs < dueMs) return;
    dueMs = ctx.nowMs + INTERVAL_MS;
    for (const [name, {waiting, oldestMs}] of measure(ctx.nowMs)) {
      knownClasses.add(name);
      const labels = {class: name};
      ctx.emit({
        kind: 'observe',
        metric: 'waiting_requests',
        labels,
        value: waiting,
      });
      ctx.emit({
        kind: 'observe',
        metric: 'oldest_waiting_ms',
        labels,
        value: oldestMs,
      });
    }
  }

  return {handlers: {}, expire};
}
