import type {LogRead} from '../router/events/log_read.js';
import type {RouterContext} from '../router/router_context.js';
import type {RouterFeature} from '../router/router_feature.js';
import {applyTableRead} from './apply_table_read.js';
import {createTableFold, type TableFold} from './table_fold.js';

/** The table of a router: follows the log and tells of changes. */
export interface TableFeature extends RouterFeature {
  readonly fold: TableFold;
  /** Whether the table is complete enough to serve from. */
  loaded(): boolean;
}

/** Called after one or more records were applied. */
export type TableListener = (ctx: RouterContext) => void;

/** Creates a table that is not loaded yet. */
export function createTableFeature(onChange: TableListener): TableFeature {
  const fold = createTableFold();
  let loaded = false;

  function logRead(ctx: RouterContext, event: LogRead): void {
    if (event.stream !== 'table') return;
    const before = fold.next();
    const {position, ignored} = applyTableRead(fold, event);
    for (const {offset, error} of ignored) {
      ctx.emit({
        kind: 'write_log',
        event: 'WL2003',
        fields: {stream: 'table', offset, error},
      });
    }
    if (position === 'reread') {
      ctx.emit({kind: 'tail', stream: 'table', from: fold.next()});
    }
    if (position === 'newest' && fold.rows().length > 0) loaded = true;
    if (fold.next() !== before) changed(ctx);
  }

  function changed(ctx: RouterContext): void {
    const next = fold.next();
    ctx.emit({kind: 'write_log', event: 'WL2001', fields: {next}});
    ctx.emit({
      kind: 'observe',
      metric: 'table_offset',
      labels: {},
      value: next,
    });
    onChange(ctx);
  }

  return {
    fold,
    loaded: () => loaded,
    start: ctx => ctx.emit({kind: 'tail', stream: 'table', from: 0}),
    handlers: {log_read: logRead},
  };
}
