import type {LogRead} from '../router/events/log_read.js';
import {createTableFold, type TableFold} from '../table/table_fold.js';
import type {PlacerContext} from './placer_context.js';

/** The table as the placer reads it from the log. */
export interface TableFollower {
  readonly fold: TableFold;
  start(ctx: PlacerContext): void;
  /** Returns whether rows may have changed. */
  logRead(ctx: PlacerContext, event: LogRead): boolean;
  /** Whether every record has been read and there are rows. */
  loaded(): boolean;
}

/** Creates a follower that has read nothing. */
export function createTableFollower(): TableFollower {
  const fold = createTableFold();
  let loaded = false;

  function logRead(ctx: PlacerContext, event: LogRead): boolean {
    if (event.stream !== 'table') return false;
    const previous = fold.next();
    for (const record of event.records) {
      const result = fold.apply(record);
      if (result.ok) continue;
      const {offset} = record;
      const fields = {stream: 'table', offset, error: result.val};
      ctx.emit({kind: 'write_log', event: 'WL2003', fields});
    }
    loaded = fold.next() >= event.end && fold.rows().length > 0;
    return fold.next() !== previous;
  }

  return {
    fold,
    start: ctx => ctx.emit({kind: 'tail', stream: 'table', from: 0}),
    logRead,
    loaded: () => loaded,
  };
}
