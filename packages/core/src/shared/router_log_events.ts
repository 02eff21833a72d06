/**
 * Log events of routers, placers and administration. WL1xxx: requests and
 * routing, WL2xxx: table and log streams, WL3xxx: claims, WL4xxx: membership,
 * WL5xxx: endpoints and engine memory, WL6xxx: placement and lease, WL7xxx:
 * administration.
 */
export const ROUTER_LOG_EVENTS = {
  WL1001: {
    level: 'info',
    text: 'routing decision',
    action: 'None; shows the chosen endpoint, the candidates and the cost.',
  },
  WL1002: {
    level: 'info',
    text: 'request ended',
    action: 'Check the outcome and the code.',
  },
  WL1003: {
    level: 'warn',
    text: 'attempt failed',
    action: 'Check the endpoint if it repeats.',
  },
  WL1004: {
    level: 'info',
    text: 'late or repeated part of an answer dropped',
    action: 'None; shows that an ended attempt still delivered.',
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
    action: 'None; shows the offset and how late the append was.',
  },
  WL2005: {
    level: 'error',
    text: 'log records passed out of retention before they were read',
    action: 'If it persists, no snapshot or peer has the missing records.',
  },
  WL3001: {
    level: 'info',
    text: 'claim decided',
    action: 'None; shows the verdict, the number of sends and the wait.',
  },
  WL3002: {
    level: 'warn',
    text: 'claim outcome not recorded',
    action: 'Check the platform log service; the key reads as unknown.',
  },
  WL3003: {
    level: 'warn',
    text: 'start of claims partition passed out of retention',
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
    text: 'own address known with a later incarnation',
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
    action: 'If it expires repeatedly, check the platform log service.',
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
    action: 'Check the platform log service; query the edit id again.',
  },
  WL7003: {
    level: 'warn',
    text: 'administration request refused',
    action: 'If it repeats, find out who uses a wrong key or role.',
  },
} as const;
