// Starts one gateway with the memory of the smallest VM and plays crowds of
// uncontrolled clients on it.
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {build} from 'esbuild';
import {startCrowd} from '../fleet/crowd.mjs';
import {startGatewayFleet} from '../fleet/gateway_fleet.mjs';
import {peakMemory, watchDescriptors} from '../fleet/process_usage.mjs';

export const MB = 1_048_576;
/** As in deploy/system.toml. */
const FLAGS = ['--max-old-space-size=128', '--max-semi-space-size=2'];
/** Half of the deployment's heap, so that fewer clients show a fault. */
export const HALF_HEAP = ['--max-old-space-size=64', '--max-semi-space-size=2'];
/** The smallest VM of the users has 202 MB. */
const VM_MB = 202;
/** What a VM runs; the process itself needs less memory as a bundle. */
const BUNDLE = 'platform/dist/wl-gateway.cjs';
const CALLERS = 80;
/** Endpoints, peers, the store, listening sockets and those of Node.js. */
const OTHER_DESCRIPTORS = 60;
export const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4 * MB,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Long enough for a slow machine; the tests check no times. */
const DEADLINE_MS = 60_000;

/** Builds the bundle with the options of scripts/build_target.sh. */
export function buildBundle() {
  return build({
    entryPoints: ['platform/dist/main.js'],
    outfile: BUNDLE,
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    logLevel: 'error',
    external: ['ts-results'],
    alias: {undici: './deploy/undici_parts.mjs'},
  });
}

/**
 * Starts a gateway before a simulated platform.
 * @param limits.callers bound on the connections of callers
 * @param limits.flags flags of Node.js in place of the deployment's
 * @param limits.endpointConnections beyond those of a few requests at a time,
 * as the `connectionLimit` of a service allows
 * @param limits.storeAddress where the gateway looks for its configuration
 */
export async function startGateway(
  t,
  {
    callers = CALLERS,
    flags = FLAGS,
    endpointConnections = 0,
    storeAddress,
  } = {},
) {
  const fleet = await startGatewayFleet({
    gateways: 1,
    engines: 1,
    bin: BUNDLE,
    flags,
    storeAddress,
    expectedStatus: storeAddress ? 503 : 200,
    settings: {memory: {total: VM_MB}, connections: {callers}},
  });
  t.after(() => fleet.stop());
  fleet.platform.publish({limits: LIMITS});
  await sleep(1_500);
  const maxDescriptors = callers + endpointConnections + OTHER_DESCRIPTORS;
  return {...fleet, maxDescriptors, gateway: fleet.gateways[0]};
}

/** Sends an ordinary request, which must be served. */
export async function assertServes({gateway, send}) {
  const answer = await send(gateway, {deadlineMs: DEADLINE_MS});
  assert.equal(answer.status, 200, answer.error);
  assert.ok(answer.complete && answer.ownBytes && answer.signed);
}

/** Sends an ordinary request, which must be refused as not run. */
export async function assertRefuses({gateway, send}) {
  const answer = await send(gateway, {deadlineMs: DEADLINE_MS});
  assert.equal(answer.status, 503, answer.error);
}

/** Checks that a process lives within its memory and its descriptors. */
export function assertInBounds(t, {gateway, maxDescriptors}, descriptors) {
  const used = descriptors.stop();
  assert.ok(gateway.running(), 'the process has ended');
  const peak = peakMemory(gateway.pid);
  t.diagnostic(`${Math.round(peak / MB)} MB, ${used} descriptors`);
  assert.ok(peak < VM_MB * MB, `${peak} bytes`);
  assert.ok(used < maxDescriptors, `${used} descriptors`);
}

/**
 * Plays a crowd and checks the process beside and after it.
 * @param crowd.parts what each client plays
 * @param crowd.prepare changes the simulated platform before the crowd comes
 * @param crowd.listener name of the address that the crowd connects to
 * @param crowd.limits limits of the gateway
 * @param crowd.assertAnswers what an ordinary request must get
 */
export async function playCrowd(
  t,
  {
    parts,
    prepare = () => undefined,
    listener = 'caller',
    limits,
    assertAnswers = assertServes,
  },
) {
  const fleet = await startGateway(t, limits);
  const {gateway, platform} = fleet;
  prepare(platform);
  const descriptors = watchDescriptors(gateway.pid);
  t.after(() => descriptors.stop());
  const crowd = await startCrowd(gateway.started[listener], parts);
  t.after(() => crowd.leave());
  for (const service of platform.services) service.faults.extraBytes = 0;
  await assertAnswers(fleet);
  crowd.leave();
  await assertAnswers(fleet);
  assertInBounds(t, fleet, descriptors);
  return fleet;
}

/** `count` clients that play one part. */
export function crowdOf(count, play) {
  return Array.from({length: count}, () => play);
}

/** Adds bytes to the answers of plain services. */
export function enlargeAnswers(bytes) {
  return ({services}) => {
    for (const service of services) service.faults.extraBytes = bytes;
  };
}
