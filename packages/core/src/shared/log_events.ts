/**
 * Catalogue of log events. `docs/LOG_EVENTS.md` is generated from it. WL1xxx:
 * requests and routing, WL2xxx: table and log streams, WL3xxx: claims, WL4xxx:
 * membership, WL5xxx: endpoints and engine memory, WL6xxx: placement and
 * lease, WL7xxx: administration, WL9xxx: process.
 */
export const LOG_EVENTS = {
  WL1001: {
    level: 'info',
    text: 'routing decision',
    action: 'None; shows the chosen endpoint, the candidates and the cost.',
  },
  WL1002: {
    level: 'info',
    text: 'request ended',
    action: 'Look at the outcome and the code.',
  },
  WL1003: {
    level: 'warn',
    text: 'attempt failed',
    action: 'Check the endpoint if it repeats.',
  },
  WL1004: {
    level: 'info',
    text: 'late or crossed answer dropped',
    action: 'None; shows that an old attempt still delivered.',
  },
  WL1005: {
    level: 'info',
    text: 'reservation failed, everything held was released',
    action: 'None unless it repeats; the request is retried after a backoff.',
  },
  WL2001: {
    level: 'info',
    text: 'table change applied',
    action: 'None; shows the offset and the changed rows.',
  },
  WL2002: {
    level: 'warn',
    text: 'log stream unavailable',
    action: 'Check the platform log service.',
  },
  WL2003: {
    level: 'warn',
    text: 'log record ignored',
    action: 'Find out who writes malformed records to the stream.',
  },
  WL5001: {
    level: 'info',
    text: 'endpoint changed state',
    action: 'Check the endpoint if it is not leaving on purpose.',
  },
  WL5101: {
    level: 'info',
    text: 'gap in cache events, full listing requested',
    action: 'None; choices ignore the lost part of the cache until it comes.',
  },
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
    action: 'If not ready, the reason says why.',
  },
} as const;
