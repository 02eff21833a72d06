/** Log events of gateways, WL8xxx. */
export const GATEWAY_LOG_EVENTS = {
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
} as const;
