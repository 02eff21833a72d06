import './enable_roarr.js';
import {Roarr} from 'roarr';
import {LOG_EVENTS} from '@wisterialadder/core/shared/log_events.js';
import type {LogEventId} from '@wisterialadder/core/shared/log_event_id.js';
import type {LogFields} from './log_fields.js';
import {PROCESS_LOG} from './process_log.js';

/** Writes numbered events of the catalogue as JSON lines. */
export interface Logger {
  write(event: LogEventId, fields?: LogFields): void;
}

/** Creates the logger of a program; each line includes `context`. */
export function createLogger(program: string, context: LogFields): Logger {
  const roarr = Roarr.child({program, ...context});
  let reportedDrops = 0;

  function writeLine(event: LogEventId, fields: LogFields): void {
    const {level, text} = LOG_EVENTS[event];
    roarr[level]({event, ...fields}, text);
  }

  return {
    write: (event, fields = {}) => {
      const dropped = PROCESS_LOG.dropped();
      if (dropped > reportedDrops) {
        writeLine('WL9007', {
          dropped: dropped - reportedDrops,
          sinceStart: dropped,
        });
        reportedDrops = dropped;
      }
      writeLine(event, fields);
    },
  };
}
