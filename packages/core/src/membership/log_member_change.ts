import type {LogEventId} from '../shared/log_event_id.js';
import type {MemberUpdate} from '../router/messages/member_update.js';
import type {RouterContext} from '../router/router_context.js';
import type {MemberStatus} from './member_status.js';

const EVENTS: Record<MemberStatus, LogEventId> = {
  alive: 'WL4001',
  suspect: 'WL4002',
  dead: 'WL4003',
};

/** Logs a new status or incarnation, but not a new refutation number alone. */
export function logMemberChange(
  ctx: RouterContext,
  before: MemberUpdate | undefined,
  update: MemberUpdate,
): void {
  const same =
    before?.status === update.status &&
    before.incarnation === update.incarnation;
  if (same) return;
  ctx.emit({
    kind: 'write_log',
    event: EVENTS[update.status],
    fields: {
      member: update.address,
      incarnation: update.incarnation,
      failureDomain: update.failureDomain,
    },
  });
}
