import './enable_roarr.js';
import {Roarr} from 'roarr';
import {LOG_EVENTS} from '@wisterialadder/core/shared/log_events.js';
import type {LogEventId} from '@wisterialadder/core/shared/log_event_id.js';
import type {LogFields} from './log_fields.js';

/** Writes numbered events of the catalogue as JSON lines. */
export interface Logger {
  write(event: LogEventId, fields?: LogFields): void;
}

/** Creates the logger of a program; `context` is part of each line. */
export function createLogger(program: string, context: LogFields): Logger {
  const roarr = Roarr.child({program, ...context});
  return {
    write: (event, fields = {}) => {
      const {level, text} = LOG_EVENTS[event];
      roarr[level]({event, ...fields}, text);
    },
  };
}
