import type {GatewayContext} from '../gateway/gateway_context.js';
import type {EntryChange} from '../registry/entry_change.js';

/** Logs changes of registered endpoints. */
export function logEntryChanges(
  ctx: GatewayContext,
  changes: readonly EntryChange[],
): void {
  for (const {id, entry, unreadable} of changes) {
    const state = entry?.state ?? (unreadable ? 'unreadable' : 'gone');
    const fields = {endpoint: id, state, address: entry?.address ?? ''};
    ctx.emit({kind: 'write_log', event: 'WL8003', fields});
  }
}
