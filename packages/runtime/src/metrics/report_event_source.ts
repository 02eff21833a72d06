import type {EventSource} from '../loop/event_source.js';
import type {Metrics} from './create_metrics.js';

/** Reports the length of a source's queue and the events that it refused. */
export function reportEventSource(
  metrics: Metrics,
  source: Pick<EventSource<unknown>, 'pending' | 'refused'>,
): void {
  metrics.sample('pending_events', source.pending);
  metrics.sample('refused_events', source.refused);
}
