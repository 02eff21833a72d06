/**
 * Catalogue of log events. `docs/LOG_EVENTS.md` is generated from it. WL1xxx:
 * requests and routing, WL2xxx: table and log streams, WL3xxx: claims, WL4xxx:
 * membership, WL5xxx: endpoints and engine memory, WL6xxx: placement and
 * lease, WL7xxx: administration, WL8xxx: gateway, WL9xxx: process.
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
  WL2004: {
    level: 'info',
    text: 'table snapshot appended',
    action: 'None; shows the offset and by how much the append was late.',
  },
  WL2005: {
    level: 'error',
    text: 'log records passed out of retention before they were read',
    action: 'If it persists, no snapshot or peer has the missing records.',
  },
  WL3001: {
    level: 'info',
    text: 'claim decided',
    action: 'None; shows the verdict, the sends it took and the wait.',
  },
  WL3002: {
    level: 'warn',
    text: 'claim outcome not recorded',
    action: 'Check the platform log service; the key reads as unknown.',
  },
  WL3003: {
    level: 'warn',
    text: 'start of claims partition out of retention',
    action: 'Check that retention is longer than the maximum key age.',
  },
  WL4001: {
    level: 'info',
    text: 'member alive',
    action: 'None.',
  },
  WL4002: {
    level: 'info',
    text: 'member suspected',
    action: 'Check the network if it repeats and the member is alive.',
  },
  WL4003: {
    level: 'warn',
    text: 'member dead',
    action: 'Check the VM if it was not replaced.',
  },
  WL4004: {
    level: 'warn',
    text: 'own suspicion or death refuted',
    action: 'Check this process for pauses and its network for loss.',
  },
  WL4005: {
    level: 'error',
    text: 'own address known with a later start',
    action: 'Check for a second process and for a clock that was set back.',
  },
  WL5001: {
    level: 'info',
    text: 'endpoint changed state',
    action: 'Check the endpoint if it is not leaving on purpose.',
  },
  WL5002: {
    level: 'warn',
    text: 'orphaned session released',
    action: 'Check the owner if it is alive; the reason says what was wrong.',
  },
  WL5101: {
    level: 'info',
    text: 'gap in cache events, full listing requested',
    action: 'None; choices ignore the lost part of the cache until it comes.',
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
  WL7001: {
    level: 'info',
    text: 'table edit settled',
    action: 'None; shows author, verdict and number of rows.',
  },
  WL7002: {
    level: 'warn',
    text: 'table edit still pending',
    action: 'Check the platform log service; ask again with the edit id.',
  },
  WL7003: {
    level: 'warn',
    text: 'administration request refused',
    action: 'If it repeats, find out who uses a wrong key or role.',
  },
  WL8001: {
    level: 'info',
    text: 'configuration in force',
    action: 'None; shows the version, the one before and where it came from.',
  },
  WL8002: {
    level: 'warn',
    text: 'store reachability changed',
    action: 'If it stays out of reach, check the store and the network.',
  },
  WL8003: {
    level: 'info',
    text: 'endpoint registration changed',
    action: 'None; shows the state that the endpoint registered.',
  },
  WL8101: {
    level: 'info',
    text: 'gateway heard',
    action: 'None; shows its address and the start it belongs to.',
  },
  WL8102: {
    level: 'warn',
    text: 'gateway silent, its work no longer counts',
    action: 'Check the VM if it was not stopped or replaced.',
  },
  WL8201: {
    level: 'warn',
    text: 'endpoint put aside',
    action:
      'Check the endpoint if it repeats; it is tried again after pauseMs.',
  },
  WL8301: {
    level: 'info',
    text: 'request routed',
    action: 'None; shows the endpoint, the time expected and the reason.',
  },
  WL8302: {
    level: 'info',
    text: 'request ended',
    action: 'Look at the outcome and the detail.',
  },
  WL8303: {
    level: 'warn',
    text: 'attempt of a request failed',
    action: 'Check the endpoint if it repeats.',
  },
  WL8304: {
    level: 'info',
    text: 'request not sent again',
    action: 'None; the denial says why.',
  },
  WL8305: {
    level: 'info',
    text: 'request waits for its engines',
    action: 'None; shows when it is to be sent and where.',
  },
  WL8306: {
    level: 'warn',
    text: 'no endpoint has room for a request, or none in time',
    action:
      'If sound is below registered, see WL8201; otherwise start endpoints.',
  },
  WL8401: {
    level: 'warn',
    text: 'memory of an engine not set aside',
    action: 'None unless it repeats; the request tries other engines.',
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
