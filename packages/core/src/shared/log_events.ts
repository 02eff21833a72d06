import {GATEWAY_LOG_EVENTS} from './gateway_log_events.js';
import {PROCESS_LOG_EVENTS} from './process_log_events.js';
import {ROUTER_LOG_EVENTS} from './router_log_events.js';

/** Catalogue of log events, from which `docs/LOG_EVENTS.md` is generated. */
export const LOG_EVENTS = {
  ...ROUTER_LOG_EVENTS,
  ...GATEWAY_LOG_EVENTS,
  ...PROCESS_LOG_EVENTS,
} as const;
