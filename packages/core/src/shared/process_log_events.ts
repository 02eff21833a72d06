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
    action: 'None; shows what the second signal cut, if anything.',
  },
  WL9004: {
    level: 'error',
    text: 'event handler failed',
    action: 'Report the stack trace; the event was dropped.',
  },
  WL9005: {
    level: 'info',
    text: 'readiness changed',
    action: 'The reason says why not, or what is in doubt.',
  },
  WL9006: {
    level: 'info',
    text: 'settings read again',
    action: 'If they were not taken, mend the problems that are named.',
  },
  WL9007: {
    level: 'warn',
    text: 'log lines dropped',
    action: 'More lines than the bounded rate, or the reader is too slow.',
  },
} as const;
