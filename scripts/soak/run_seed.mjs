import {setInterval, clearInterval} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {createSeededRandom} from '../../packages/runtime/dist/loop/seeded_random.js';
import {sendRequest} from '../../platform/dist/mocks/double_client.js';
import {LOAD_KINDS} from '../../platform/dist/mocks/load_kind.js';
import {startGatewayFleet} from '../fleet/gateway_fleet.mjs';
import {startRelay} from '../fleet/relay.mjs';
import {FAULTS} from './faults.mjs';
import {drawPlan} from './plan.mjs';
import {
  checkAnswer,
  checkMemory,
  checkRuns,
  watchDrained,
} from './promises.mjs';

const FEW_GATEWAYS = 3;
const WATCH_INTERVAL_MS = 100;
/** After the last fault everything is as before within this time. */
const RECOVERY_MS = 4_000;
/** Time after which engines free memory that nobody prolongs, and a margin. */
const MEMORY_MS = 4_500;
const LAST_REQUESTS = 20;
/** Faults that keep a gateway or the store from learning what changed. */
const BLINDING = /^(?:store_|gateway_)/;

/**
 * Runs one seed; answers what was broken, an empty list if nothing.
 * @param durationMs time in which faults begin
 * @param options.gateways fleets of more than 12 tell each other through relays
 * @param options.kinds kinds of faults there were when a seed was first played
 */
export async function runSeed(
  seed,
  durationMs,
  {gateways = FEW_GATEWAYS, kinds} = {},
) {
  const random = createSeededRandom(seed);
  const links = [];
  const fleet = await startGatewayFleet({
    gateways,
    engines: 6,
    services: 2,
    front: async address => {
      const link = await startRelay(address);
      links.push(link);
      return link.address;
    },
  });
  const findings = [];
  let blindMs = 0;
  let blind = 0;
  const env = {
    fleet,
    platform: fleet.platform,
    links,
    random,
    gone: new Map(),
    drained: [],
    slots: fleet.gateways.map((gateway, index) => ({
      index,
      gateway,
      faulty: false,
    })),
    broken: what => findings.push(what),
    calmSinceMs: () => (blind > 0 ? Date.now() : blindMs),
  };
  const watching = setInterval(() => watchDrained(env), WATCH_INTERVAL_MS);
  try {
    const answers = [];
    const plan = drawPlan(random, durationMs, kinds);
    const faults = plan.map(async ({name, atMs, lengthMs}) => {
      await sleep(atMs);
      if (BLINDING.test(name)) blind += 1;
      const end = await FAULTS[name](env);
      await sleep(lengthMs);
      await end();
      if (!BLINDING.test(name)) return;
      blind -= 1;
      blindMs = Date.now();
    });
    const load = LOAD_KINDS.map(kind =>
      sendKind(env, kind, durationMs, answers),
    );
    await Promise.all([...faults, ...load]);
    await sleep(RECOVERY_MS);
    await checkMembers(env);
    await checkRecovered(env);
    await sleep(MEMORY_MS);
    checkRuns(env, answers);
    checkMemory(env);
    return {findings, faults: plan.length, requests: answers.length};
  } finally {
    clearInterval(watching);
    await fleet.stop();
    for (const link of links) link.close();
  }
}

/** Sends one kind of request at its rate. */
async function sendKind(env, kind, durationMs, answers) {
  const {random} = env;
  const startedMs = performance.now();
  const open = [];
  let dueMs = 0;
  for (let i = 1; ; i++) {
    dueMs += (-Math.log(1 - random()) / kind.perSecond) * 1_000;
    if (dueMs > durationMs) break;
    await sleep(Math.max(0, startedMs + dueMs - performance.now()));
    const slot = env.slots[Math.floor(random() * env.slots.length)];
    open.push(sendOne(env, kind, `${kind.name}-${i}`, slot, answers));
  }
  await Promise.all(open);
}

async function sendOne(env, kind, id, slot, answers) {
  const {gateway} = slot;
  let mayBreak = slot.faulty;
  const watching = setInterval(() => {
    mayBreak ||= slot.faulty || slot.gateway !== gateway;
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
  checkAnswer(env, id, kind, answer, mayBreak || slot.faulty);
}

/** Every gateway hears all others. */
async function checkMembers(env) {
  for (const {gateway} of env.slots) {
    const {members} = await env.fleet.status(gateway);
    const heard = members.filter(({alive}) => alive).length;
    if (heard === env.slots.length - 1) continue;
    env.broken(`${gateway.name} hears ${heard} other gateways`);
  }
}

/** Requests are served again by every gateway. */
async function checkRecovered(env) {
  const [lookup] = LOAD_KINDS;
  for (let i = 0; i < LAST_REQUESTS; i++) {
    const {gateway} = env.slots[i % env.slots.length];
    const attemptId = `last-${i + 1}`;
    const answer = await env.fleet.send(gateway, {
      attemptId,
      path: lookup.path,
      tokens: [2_000, 200],
    });
    if (answer.status === 200 && answer.complete) continue;
    env.broken(`${attemptId} after all faults: status ${answer.status}`);
  }
}
