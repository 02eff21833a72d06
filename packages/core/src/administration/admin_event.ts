import type {AppendSettled} from '../router/events/append_settled.js';
import type {LogRead} from '../router/events/log_read.js';
import type {LogReadFailed} from '../router/events/log_read_failed.js';
import type {Tick} from '../router/events/tick.js';
import type {EditSubmitted} from './edit_submitted.js';

/** Every event that the administration handles. */
export type AdminEvent =
  AppendSettled | EditSubmitted | LogRead | LogReadFailed | Tick;
