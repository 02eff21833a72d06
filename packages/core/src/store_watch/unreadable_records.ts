import type {GatewayContext} from '../gateway/gateway_context.js';
import type {EntryChange} from '../registry/entry_change.js';

/** Bounds the memory for ids, which another client of the store may invent. */
const MAX_REPORTED_IDS = 1_000;
const MAX_LOGGED_ID_LENGTH = 64;

/** Logs records of the store that are left out, each once. */
export interface UnreadableRecords {
  entriesRead(ctx: GatewayContext, changes: readonly EntryChange[]): void;
  /** @param nextOffset offset of the first record that was not read yet */
  configurationSkipped(ctx: GatewayContext, nextOffset: number): void;
}

/** Creates a log without reported records. */
export function createUnreadableRecords(): UnreadableRecords {
  const reported = new Set<string>();
  let configurationOffset = -1;

  function report(ctx: GatewayContext, record: string): void {
    const fields = {record: record.slice(0, MAX_LOGGED_ID_LENGTH)};
    ctx.emit({kind: 'write_log', event: 'WL8004', fields});
    const metric = 'unreadable_records_total';
    ctx.emit({kind: 'observe', metric, labels: {}, value: 1});
  }

  return {
    entriesRead: (ctx, changes) => {
      for (const {id, unreadable} of changes) {
        if (!unreadable) reported.delete(id);
        else if (!reported.has(id) && reported.size < MAX_REPORTED_IDS) {
          reported.add(id);
          report(ctx, id);
        }
      }
    },
    configurationSkipped: (ctx, nextOffset) => {
      if (nextOffset <= configurationOffset) return;
      configurationOffset = nextOffset;
      report(ctx, 'configuration');
    },
  };
}
