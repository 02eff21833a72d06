import type {LOG_EVENTS} from './log_events.js';

/** Number of a log event, for example `WL1001`. */
export type LogEventId = keyof typeof LOG_EVENTS;
