import {createGatewayFleet, type GatewayFleet} from '../gateway_fleet.js';
import type {GatewayFleetConfig} from '../gateway_fleet_config.js';
import type {FleetRequest} from '../fleet_request.js';
import {configuration} from '../gateway_parts.js';
import {requestValue} from '../../engine_model/request_value.js';
import {createTestRandom} from '../step_harness.js';
import {
  createLoadEndpoints,
  LOAD_PROFILE,
  type LoadEndpoints,
} from './load_endpoints.js';
import {LOAD_KINDS, type LoadKindSpec} from './load_kind.js';
import {drawRequest, type LoadRequest} from './load_request.js';
import {outcomeOf, type LoadResult} from './load_result.js';
import {
  DOWN_MS,
  FAULT_END_MS,
  FAULT_START_MS,
  RUN_MS,
  type LoadScenario,
} from './load_scenario.js';

const GATEWAYS = 6;
const CUSTOMERS = 8;
const STEP_MS = 5;
/** Time after the traffic until the last answer must be there. */
const SETTLE_MS = 12_000;
/** A caller repeats a refused request this often when it is told to. */
const USUAL_REPEATS = 1;
const STORM_REPEATS = 3;

/** Results of a run. */
export interface LoadRun {
  results: LoadResult[];
  overflows: number;
}

interface Call {
  spec: LoadKindSpec;
  req: LoadRequest;
  sent: FleetRequest | undefined;
  storming: boolean;
  repeatsLeft: number;
}

/** Plays a scenario; runs with the same seed are the same. */
export function runLoad(
  scenario: LoadScenario,
  seed: number,
  wrapNode?: GatewayFleetConfig['wrapNode'],
): LoadRun {
  const random = createTestRandom(seed);
  // Apart from the traffic, which must not depend on repeats.
  const balancer = createTestRandom(seed + 1_000);
  const byId = new Map<string, LoadRequest>();
  const calls: Call[] = [];
  let endpoints!: LoadEndpoints;
  const fleet = createGatewayFleet({
    gateways: GATEWAYS,
    engines: 0,
    seed,
    configuration: loadConfiguration(),
    createEndpoints: timeline =>
      (endpoints = createLoadEndpoints(timeline, id => byId.get(id))),
    ...(wrapNode && {wrapNode}),
  });
  const startMs = fleet.nowMs();
  let lastId = 0;

  function send(call: Call): void {
    const down = isDown(scenario, fleet.nowMs() - startMs);
    if (down) return;
    const reqId = `l${(lastId += 1)}`;
    byId.set(reqId, call.req);
    const gateway = Math.floor(balancer() * GATEWAYS);
    call.sent = fleet.send(gateway, {...call.req.event, reqId});
  }

  /** Whether every caller has a final answer. */
  function settled(): boolean {
    return calls.every(
      ({sent, repeatsLeft}) =>
        !sent ||
        (sent.endedMs !== undefined && (!sent.refusal || repeatsLeft === 0)),
    );
  }

  function arrive(atMs: number): void {
    for (const spec of LOAD_KINDS) {
      const factor = scenario.factor(spec.kind, atMs);
      const expected = (spec.perS * factor * STEP_MS) / 1_000;
      if (random() >= expected) continue;
      const customer = pickCustomer(scenario, random());
      const req = drawRequest(spec, customer, random);
      const storming = random() < scenario.stormShare;
      const repeatsLeft = storming ? STORM_REPEATS : USUAL_REPEATS;
      const call = {spec, req, storming, repeatsLeft};
      calls.push({...call, sent: undefined});
      send(calls.at(-1)!);
    }
  }

  function repeat(nowMs: number): void {
    for (const call of calls) {
      const {sent, storming} = call;
      if (!sent?.refusal || call.repeatsLeft === 0) continue;
      const waitMs = storming ? 0 : (sent.retryAfterMs ?? 0);
      if (nowMs < (sent.endedMs ?? nowMs) + waitMs) continue;
      call.repeatsLeft -= 1;
      send(call);
    }
  }

  for (let atMs = 0; atMs < RUN_MS; atMs += STEP_MS) {
    disturb(scenario, atMs, fleet, endpoints);
    arrive(atMs);
    repeat(fleet.nowMs());
    fleet.run(STEP_MS);
  }
  for (let atMs = 0; atMs < SETTLE_MS && !settled(); atMs += STEP_MS) {
    repeat(fleet.nowMs());
    fleet.run(STEP_MS);
  }
  const results = calls.map(({spec, req: {kind, customer, event}, sent}) => ({
    kind,
    customer,
    value: requestValue(event.promptTokens),
    outcome: sent ? outcomeOf(sent, spec.route) : ('failed' as const),
  }));
  return {results, overflows: endpoints.overflows()};
}

function loadConfiguration() {
  const customers = Array.from({length: CUSTOMERS}, (_, i) => ({
    name: `c${i}`,
    keys: [`c${i}`],
    priority: undefined,
  }));
  return configuration({
    routes: LOAD_KINDS.map(({route}) => route),
    services: [
      {
        name: 'engines',
        connectionLimit: 500,
        warmUpPerSecond: 0,
        engine: LOAD_PROFILE,
      },
      {
        name: 'register',
        connectionLimit: 500,
        warmUpPerSecond: 0,
        engine: undefined,
      },
    ],
    customers,
  });
}

function pickCustomer({largestShare}: LoadScenario, at: number): string {
  if (at < largestShare) return 'c0';
  const rest = (at - largestShare) / (1 - largestShare);
  return `c${1 + Math.floor(rest * (CUSTOMERS - 1))}`;
}

function isDown({gatewaysDown}: LoadScenario, atMs: number): boolean {
  if (!gatewaysDown) return false;
  return atMs >= FAULT_START_MS && atMs < FAULT_START_MS + DOWN_MS;
}

/** Starts and ends the faults of a scenario. */
function disturb(
  scenario: LoadScenario,
  atMs: number,
  fleet: GatewayFleet,
  {all}: LoadEndpoints,
): void {
  const {troubledShare, slowdown, gatewaysDown} = scenario;
  const restarts = atMs === FAULT_START_MS || atMs === FAULT_START_MS + DOWN_MS;
  if (gatewaysDown && restarts) {
    for (let i = 0; i < GATEWAYS; i++) fleet.restart(i);
  }
  const troubled = all.filter((_, i) => i % 3 === 0 && troubledShare > 0);
  for (const endpoint of troubled) {
    if (atMs === FAULT_START_MS) {
      endpoint.slowdown = Math.max(1, slowdown);
      endpoint.reachable = slowdown > 0;
      if (!endpoint.reachable) endpoint.fail();
    }
    if (atMs === FAULT_END_MS) {
      endpoint.slowdown = 1;
      endpoint.reachable = true;
    }
  }
}
