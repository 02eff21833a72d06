/** Log events of every process, WL9xxx. */
export const PROCESS_LOG_EVENTS = {
  WL9001: {
    level: 'info',
    text: 'process started',
    action: 'None.',
  },
  WL9002: {
    level: 'info',
    text: 'graceful shutdown started',
    action: 'None; shows how many requests are in flight.',
  },
  WL9003: {
    level: 'info',
    text: 'process stopped',
    action: 'None; shows what a second signal aborted, if anything.',
  },
  WL9004: {
    level: 'error',
    text: 'event handler failed',
    action: 'Report the stack trace; the event was dropped.',
  },
  WL9005: {
    level: 'info',
    text: 'readiness changed',
    action: 'The reason says why not, or why the state may be outdated.',
  },
  WL9006: {
    level: 'info',
    text: 'settings reloaded',
    action: 'If they were rejected, correct the problems that are listed.',
  },
  WL9007: {
    level: 'warn',
    text: 'log lines dropped',
    action: 'The rate limit was exceeded, or the reader is too slow.',
  },
} as const;
