/** Log events of gateways, WL8xxx. */
export const GATEWAY_LOG_EVENTS = {
  WL8001: {
    level: 'info',
    text: 'configuration applied',
    action: 'None; shows the version, the previous one and the source.',
  },
  WL8002: {
    level: 'warn',
    text: 'store reachability changed',
    action: 'If it stays unreachable, check the store and the network.',
  },
  WL8003: {
    level: 'info',
    text: 'endpoint registration changed',
    action: 'None; shows the state that the endpoint registered.',
  },
  WL8004: {
    level: 'warn',
    text: 'unreadable record in the store ignored',
    action: 'Find out who writes malformed records; all others are followed.',
  },
  WL8005: {
    level: 'warn',
    text: 'the reader of the store knows other endpoints',
    action: 'None; the store is read. If it repeats, report a bug.',
  },
  WL8006: {
    level: 'info',
    text: 'outage of the store is over',
    action:
      'None; shows whose read said so, and for how long missing endpoints stay.',
  },
  WL8010: {
    level: 'warn',
    text: 'failure domain drained',
    action: 'None if intended; its endpoints get no requests until it ends.',
  },
  WL8011: {
    level: 'info',
    text: 'drain of a failure domain ended',
    action: 'None; its endpoints get requests again and may be cold.',
  },
  WL8012: {
    level: 'info',
    text: 'endpoint is cold',
    action: 'None; all gateways together send it no more than its rate.',
  },
  WL8013: {
    level: 'info',
    text: 'endpoint is warm or gone',
    action: 'None.',
  },
  WL8020: {
    level: 'warn',
    text: 'the store was restored from an older copy',
    action:
      'Check that the configuration is the one wanted; gateways list everything again.',
  },
  WL8101: {
    level: 'info',
    text: 'first heartbeat of a gateway received',
    action: 'None; shows its address and incarnation.',
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
  WL8202: {
    level: 'info',
    text: 'endpoint is leaving',
    action:
      'None; shows whether its own answer or a peer said so. It gets no new work.',
  },
  WL8203: {
    level: 'info',
    text: 'endpoint asked for a pause',
    action:
      'If it repeats, the endpoint is overloaded: start further endpoints.',
  },
  WL8204: {
    level: 'info',
    text: 'endpoint changed the limit that it names',
    action:
      'If many endpoints name limits, they are overloaded: start further ones.',
  },
  WL8301: {
    level: 'info',
    text: 'request routed',
    action: 'None; shows the endpoint, the expected time and the reason.',
  },
  WL8302: {
    level: 'info',
    text: 'request ended',
    action: 'Check the outcome and the detail.',
  },
  WL8303: {
    level: 'warn',
    text: 'attempt of a request failed',
    action:
      'Check the endpoint if it repeats; connection and answer say what the failure rests on.',
  },
  WL8304: {
    level: 'info',
    text: 'request not retried',
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
  WL8501: {
    level: 'warn',
    text: 'engine ended before it had answered a request',
    action:
      'Compare parts and request of lines of different engines; begun tells a likely cause.',
  },
  WL8502: {
    level: 'warn',
    text: 'standing of a part of prompts changed',
    action:
      'None; prompts with a suspected part are sent one at a time until one is answered.',
  },
  WL8503: {
    level: 'error',
    text: 'verdict on a part of prompts',
    action:
      'Find who sends prompts with the part; lift the quarantine by wlctl once engines are mended.',
  },
  WL8504: {
    level: 'info',
    text: 'request with a suspected cause refused or sent alone',
    action:
      'None; see WL8503 of the part, or WL8511 of the request, for the evidence.',
  },
  WL8505: {
    level: 'warn',
    text: 'parts of a prompt left out',
    action: 'Find out who sends thousands of parts; the rest is followed.',
  },
  WL8510: {
    level: 'warn',
    text: 'standing of a request changed',
    action:
      'None; a suspected request is on one engine at a time until it is answered.',
  },
  WL8511: {
    level: 'error',
    text: 'verdict on a request',
    action:
      'Find who sends the request; lift the quarantine by wlctl once engines are mended.',
  },
  WL8401: {
    level: 'warn',
    text: 'engine memory not reserved',
    action: 'None unless it repeats; the request tries other engines.',
  },
  WL8600: {
    level: 'warn',
    text: 'bodies, answers or connections of callers given up',
    action:
      'Counts of the last second. Near maxBytes, memory is short: find who sends unfinished bodies or reads nothing.',
  },
} as const;
