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
  WL6001: {
    level: 'info',
    text: 'placement decision',
    action: 'None; shows the replicas of a model, the demand and the engines.',
  },
  WL6002: {
    level: 'info',
    text: 'order sent to an endpoint',
    action: 'None; shows the order and the fencing token.',
  },
  WL6003: {
    level: 'info',
    text: 'lease changed state',
    action: 'If it expires again and again, check the platform log service.',
  },
  WL6004: {
    level: 'warn',
    text: 'order not carried out',
    action: 'Check the endpoint if it repeats; the order is sent again.',
  },
  WL6005: {
    level: 'warn',
    text: 'weight store refused a load',
    action: 'Raise the load interval if it repeats; the load is tried again.',
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
