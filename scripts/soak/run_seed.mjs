import {setInterval, clearInterval} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {createSeededRandom} from '../../packages/runtime/dist/loop/seeded_random.js';
import {sendRequest} from '../../platform/dist/mocks/double_client.js';
import {LOAD_KINDS} from '../../platform/dist/mocks/load_kind.js';
import {startGatewayFleet} from '../fleet/gateway_fleet.mjs';
import {startTcpProxy} from '../fleet/tcp_proxy.mjs';
import {FAULTS} from './faults.mjs';
import {drawPlan} from './plan.mjs';
import {
  checkAnswer,
  checkMemory,
  checkRuns,
  recordDrainArrivals,
} from './invariants.mjs';

const DEFAULT_GATEWAYS = 3;
const WATCH_INTERVAL_MS = 100;
/** The fleet recovers from the last fault within this time. */
const RECOVERY_MS = 4_000;
/** Engines free memory that nobody renews within this time, margin included. */
const MEMORY_RELEASE_MS = 4_500;
const FINAL_REQUESTS = 20;
/** Faults that delay changes of the deployment on their way to the gateways. */
const PROPAGATION_FAULTS = /^(?:store_|gateway_)/;

/**
 * Runs one seed and returns the violated invariants, if any.
 * @param durationMs time in which faults begin
 * @param options.gateways fleets of more than 12 use gossip relays
 * @param options.kinds number of fault kinds when the seed was first run
 */
export async function runSeed(
  seed,
  durationMs,
  {gateways = DEFAULT_GATEWAYS, kinds} = {},
) {
  const random = createSeededRandom(seed);
  const links = [];
  const fleet = await startGatewayFleet({
    gateways,
    engines: 6,
    services: 2,
    front: async address => {
      const link = await startTcpProxy(address);
      links.push(link);
      return link.address;
    },
  });
  const violations = [];
  let lastPropagationFaultEndMs = 0;
  let activePropagationFaults = 0;
  const env = {
    fleet,
    platform: fleet.platform,
    links,
    random,
    removedEngines: new Map(),
    drained: [],
    slots: fleet.gateways.map((gateway, index) => ({
      index,
      gateway,
      faulty: false,
    })),
    reportViolation: what => violations.push(what),
    propagatingSinceMs: () =>
      activePropagationFaults > 0 ? Date.now() : lastPropagationFaultEndMs,
  };
  const watching = setInterval(
    () => recordDrainArrivals(env),
    WATCH_INTERVAL_MS,
  );
  try {
    const answers = [];
    const plan = drawPlan(random, durationMs, kinds);
    const faults = plan.map(async ({name, atMs, lengthMs}) => {
      await sleep(atMs);
      if (PROPAGATION_FAULTS.test(name)) activePropagationFaults += 1;
      const end = await FAULTS[name](env);
      await sleep(lengthMs);
      await end();
      if (!PROPAGATION_FAULTS.test(name)) return;
      activePropagationFaults -= 1;
      lastPropagationFaultEndMs = Date.now();
    });
    const load = LOAD_KINDS.map(kind =>
      sendKind(env, kind, durationMs, answers),
    );
    await Promise.all([...faults, ...load]);
    await sleep(RECOVERY_MS);
    await checkMembers(env);
    await checkRecovered(env);
    await sleep(MEMORY_RELEASE_MS);
    checkRuns(env, answers);
    checkMemory(env);
    return {violations, faults: plan.length, requests: answers.length};
  } finally {
    clearInterval(watching);
    await fleet.stop();
    for (const link of links) link.close();
  }
}

/** Sends Poisson arrivals of one kind of request. */
async function sendKind(env, kind, durationMs, answers) {
  const {random} = env;
  const startedMs = performance.now();
  const pending = [];
  let dueMs = 0;
  for (let i = 1; ; i++) {
    dueMs += (-Math.log(1 - random()) / kind.perSecond) * 1_000;
    if (dueMs > durationMs) break;
    await sleep(Math.max(0, startedMs + dueMs - performance.now()));
    const slot = env.slots[Math.floor(random() * env.slots.length)];
    pending.push(sendOne(env, kind, `${kind.name}-${i}`, slot, answers));
  }
  await Promise.all(pending);
}

async function sendOne(env, kind, id, slot, answers) {
  const {gateway} = slot;
  let gatewayFaulty = slot.faulty;
  const watching = setInterval(() => {
    gatewayFaulty ||= slot.faulty || slot.gateway !== gateway;
  }, WATCH_INTERVAL_MS);
  const answer = await sendRequest({
    gateway: gateway.started.caller,
    attemptId: id,
    path: `${kind.path}${id}`,
    method: kind.method,
    key: 'key-1',
    tokens: kind.tokens,
    deadlineMs: kind.deadlineMs,
  });
  clearInterval(watching);
  answers.push({id, kind, status: answer.status});
  checkAnswer(env, id, kind, answer, gatewayFaulty || slot.faulty);
}

/** Checks that every gateway sees all its peers alive. */
async function checkMembers(env) {
  for (const {gateway} of env.slots) {
    const {members} = await env.fleet.status(gateway);
    const alivePeers = members.filter(({alive}) => alive).length;
    if (alivePeers === env.slots.length - 1) continue;
    env.reportViolation(`${gateway.name} sees ${alivePeers} peers alive`);
  }
}

/** Checks that every gateway serves requests again. */
async function checkRecovered(env) {
  const [lookup] = LOAD_KINDS;
  for (let i = 0; i < FINAL_REQUESTS; i++) {
    const {gateway} = env.slots[i % env.slots.length];
    const attemptId = `last-${i + 1}`;
    const answer = await env.fleet.send(gateway, {
      attemptId,
      path: lookup.path,
      tokens: [2_000, 200],
    });
    if (answer.status === 200 && answer.complete) continue;
    env.reportViolation(
      `${attemptId} after all faults: status ${answer.status}`,
    );
  }
}
