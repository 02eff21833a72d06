import type {LogEventId} from '../../shared/log_event_id.js';

/** Writes one line of the structured log. */
export interface WriteLog {
  kind: 'write_log';
  event: LogEventId;
  fields: Record<string, string | number | boolean>;
}
