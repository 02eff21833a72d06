import type {Configuration} from '../configuration/configuration.js';
import type {EngineProfile} from '../configuration/engine_profile.js';
import type {Route} from '../configuration/route.js';
import type {Work} from '../fleet/work.js';
import type {GatewayConfig} from '../gateway/gateway_config.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';

/** Settings of a gateway without seeds. */
export function gatewayConfig(
  over: Partial<GatewayConfig> = {},
): GatewayConfig {
  return {
    address: '10.0.0.1:7000',
    failureDomain: 'amman-1',
    incarnation: 1,
    seeds: [],
    drainNoticeMs: 500,
    drainLimitMs: 5_000,
    retryRatio: 0.2,
    retryExtra: 100,
    retryWindowMs: 10_000,
    ...over,
  };
}

/** Costs similar to those of the users' engines. */
export function engineProfile(
  over: Partial<EngineProfile> = {},
): EngineProfile {
  return {
    slots: 11,
    memoryTokens: 315_000,
    stepsPerPass: 51,
    stepMs: 0.85,
    stepMsPerStream: 0.006,
    stepMsPerThousandTokens: 0.00285,
    readTokensPerMs: 177,
    readMsPerMillionPairs: 0.184,
    chunkTokens: 2_048,
    hopMs: 0.05,
    ...over,
  };
}

/** A route of resumable streams. */
export function streamRoute(over: Partial<Route> = {}): Route {
  return {
    name: 'lookup',
    host: 'llm.example',
    prefix: '/lookup/',
    kind: 'stream',
    services: [{service: 'engines', weight: 1}],
    timeoutMs: 10_000,
    targetMs: 300,
    targetGapMs: 250,
    priority: 1,
    maxAttempts: 2,
    public: false,
    resumable: true,
    ...over,
  };
}

/** A route of calls of a plain service. */
export function callRoute(over: Partial<Route> = {}): Route {
  return streamRoute({
    name: 'write',
    prefix: '/write/',
    kind: 'non_idempotent',
    services: [{service: 'register', weight: 1}],
    timeoutMs: 1_000,
    targetGapMs: 0,
    maxAttempts: 1,
    resumable: false,
    ...over,
  });
}

/** Streams, reads and writes for the customer `clerks` with the key `k1`. */
export function configuration(
  over: Partial<Configuration> = {},
): Configuration {
  return {
    version: 1,
    routes: [
      streamRoute(),
      callRoute(),
      callRoute({
        name: 'read',
        prefix: '/read/',
        kind: 'idempotent',
        maxAttempts: 2,
      }),
    ],
    services: [
      {
        name: 'engines',
        connectionLimit: 100,
        warmUpPerSecond: 0,
        engine: engineProfile(),
      },
      {
        name: 'register',
        connectionLimit: 50,
        warmUpPerSecond: 0,
        engine: undefined,
      },
    ],
    limits: {
      maxHeadBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    customers: [{name: 'clerks', keys: ['k1'], priority: undefined}],
    ...over,
  };
}

/** A ready engine. */
export function endpointEntry(
  over: Partial<EndpointEntry> = {},
): EndpointEntry {
  const id = over.id ?? 'e1';
  return {
    id,
    service: 'engines',
    address: `10.1.0.${id.replace(/\D/g, '') || '9'}:9000`,
    failureDomain: 'amman-1',
    slots: 11,
    state: 'ready',
    warmUpMs: 0,
    sequence: 1,
    startedAtMs: 1_000,
    ...over,
  };
}

/** Work of another gateway on the engine `e1`. */
export function workOn(over: Partial<Work> = {}): Work {
  return {
    member: '10.0.0.2:7000',
    id: 1,
    main: 'e1',
    helpers: [],
    sharded: false,
    promptTokens: 5_000,
    outputTokens: 1_500,
    dueMs: 300,
    gapMs: 250,
    startedMs: 0,
    decoding: false,
    serviceMs: 0,
    ...over,
  };
}
