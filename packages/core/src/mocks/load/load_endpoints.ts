import {NO_HINTS} from '../../endpoint_hints/endpoint_hints.js';
import type {OrderMemory} from '../../gateway/actions/order_memory.js';
import type {StartAttempt} from '../../gateway/actions/start_attempt.js';
import type {GatewayEvent} from '../../gateway/events/gateway_event.js';
import type {FleetPrompt} from '../fleet_engines.js';
import type {FleetEndpoints} from '../fleet_endpoints.js';
import {endpointEntry, engineProfile} from '../gateway_parts.js';
import type {VirtualTimeline} from '../virtual_timeline.js';
import {failJob, type LoadEndpoint} from './load_endpoint.js';
import {LoadEngine} from './load_engine.js';
import type {LoadJob} from './load_job.js';
import type {LoadRequest} from './load_request.js';
import {LoadService} from './load_service.js';

const NETWORK_MS = 3;
const ENGINES = 12;
const SERVICES = 3;
const SERVICE_SLOTS = 4;
const FAILURE_DOMAINS = 3;

/** Published costs of the engines of the load test. */
export const LOAD_PROFILE = engineProfile({
  slots: 8,
  memoryTokens: 344_250,
  stepMs: 1.31,
  readTokensPerMs: 154,
  readMsPerMillionPairs: 0.162,
});

/** Engines and plain endpoints of the load test. */
export interface LoadEndpoints extends FleetEndpoints {
  readonly all: LoadEndpoint[];
  /** Number of engines that held more than their memory. */
  overflows(): number;
}

/**
 * Creates endpoints without work.
 * @param requestOf finds a request by its id
 */
export function createLoadEndpoints(
  timeline: VirtualTimeline,
  requestOf: (reqId: string) => LoadRequest | undefined,
): LoadEndpoints {
  const engines = Array.from({length: ENGINES}, (_, i) => {
    const entry = loadEntry(`e${i + 1}`, 'engines', LOAD_PROFILE.slots, i);
    return new LoadEngine(entry, LOAD_PROFILE, timeline, engineAt);
  });
  const services = Array.from({length: SERVICES}, (_, i) => {
    const entry = loadEntry(`s${i + 51}`, 'register', SERVICE_SLOTS, i);
    return new LoadService(entry, timeline);
  });
  const all: LoadEndpoint[] = [...engines, ...services];
  const jobs = new Map<string, {job: LoadJob; endpoint: LoadEndpoint}>();

  function engineAt(address: string): LoadEngine | undefined {
    return engines.find(({entry}) => entry.address === address);
  }

  function take(
    gateway: string,
    action: StartAttempt,
    _prompt: FleetPrompt,
    send: (event: GatewayEvent) => void,
  ): void {
    const {reqId, attempt} = action;
    const req = requestOf(reqId);
    const endpoint = all.find(({entry}) => entry.id === action.endpoint);
    if (!req || !endpoint) return;
    const key = `${gateway}/${reqId}/${attempt}`;
    const reply = (event: GatewayEvent): void =>
      timeline.after(NETWORK_MS, () => send(event));
    const job = newJob(key, action, req, reply);
    if (!endpoint.reachable) return failJob(job, 'connect_failed');
    jobs.set(key, {job, endpoint});
    timeline.after(NETWORK_MS, () => job.open && endpoint.take(job));
  }

  function order(
    action: OrderMemory,
    reply: (event: GatewayEvent) => void,
  ): void {
    const {ticket, endpoint} = action;
    const engine = engines.find(({entry}) => entry.id === endpoint);
    const done = engine?.reachable ? engine.order(action) : undefined;
    if (action.order === 'release') return;
    const answer = done === undefined ? 'unknown' : done ? 'done' : 'refused';
    const result = {ticket, endpoint, answer, hints: NO_HINTS} as const;
    timeline.after(2 * NETWORK_MS, () =>
      reply({kind: 'memory_settled', ...result}),
    );
  }

  return {
    all,
    entries: () => all.map(({entry}) => entry),
    take,
    order,
    cancel: (gateway, {reqId, attempt}) => {
      const found = jobs.get(`${gateway}/${reqId}/${attempt}`);
      found?.endpoint.drop(found.job);
    },
    overflows: () => engines.reduce((sum, {overflows}) => sum + overflows, 0),
  };
}

function loadEntry(id: string, service: string, slots: number, i: number) {
  const failureDomain = `domain-${i % FAILURE_DOMAINS}`;
  return endpointEntry({id, service, slots, failureDomain});
}

function newJob(
  key: string,
  action: StartAttempt,
  req: LoadRequest,
  reply: LoadJob['reply'],
): LoadJob {
  const progress = {openParts: 1, storedTokens: 0, writtenTokens: 0, pieces: 0};
  return {key, action, req, reply, open: true, ...progress};
}
