import type {LogState} from './log_state.js';

const REASONS: Record<LogState, string> = {
  unread: 'the log has not answered yet',
  failed: 'the log is unavailable',
  behind: 'log records are still being read',
  reread: 'log records are still being read',
  trimmed:
    'log records after the table have passed out of retention and no ' +
    'snapshot covers them',
  newest: '',
};

/** Why the table may be outdated; empty if the log shows it is current. */
export function stalenessReason(log: LogState, peerAhead: boolean): string {
  const reason = REASONS[log];
  if (reason === '' || !peerAhead) return reason;
  return `${reason}; a peer has a newer table`;
}
