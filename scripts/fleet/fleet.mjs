import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {startProcess} from './process.mjs';
import {appendRows, keyHash} from './table_rows.mjs';

const PEER_SECRET = 'fleet-secret';
const ANY_PORT = '127.0.0.1:0';
const READY_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 25;

const BINS = {
  platform: 'packages/standins/bin/wl-platform.js',
  engine: 'packages/standins/bin/wl-engine.js',
  service: 'packages/standins/bin/wl-service.js',
  router: 'packages/router/bin/wl-router.js',
  placer: 'packages/placer/bin/wl-placer.js',
  admin: 'packages/admin/bin/wl-admin.js',
};

/** Polls `check` until it returns true; rejects after `timeoutMs`. */
export async function until(what, check, timeoutMs = READY_TIMEOUT_MS) {
  const endMs = performance.now() + timeoutMs;
  while (performance.now() < endMs) {
    if (await check()) return;
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  throw new Error(`timed out: ${what}`);
}

/** Reads JSON; undefined if the request fails. */
export async function getJson(url, options = {}) {
  try {
    const res = await fetch(url, {
      signal: AbortSignal.timeout(2_000),
      ...options,
    });
    return await res.json();
  } catch {
    return undefined;
  }
}

/** Creates an empty fleet of processes on loopback. */
export function createFleet() {
  const dir = mkdtempSync(join(tmpdir(), 'wl-fleet-'));
  const processes = [];

  async function start(kind, name, settings) {
    const bin = BINS[kind];
    const started = await startProcess({name, bin, settings, dir});
    const process = {...started, kind};
    processes.push(process);
    return process;
  }

  function withSections(base, overrides = {}) {
    const merged = {...base};
    for (const [section, keys] of Object.entries(overrides)) {
      merged[section] = {...merged[section], ...keys};
    }
    return merged;
  }

  async function platform(overrides) {
    const settings = withSections({http: {listen: ANY_PORT}}, overrides);
    const process = await start('platform', 'platform', settings);
    return {...process, url: `http://${process.started.listen}`};
  }

  async function endpoint(kind, name, overrides) {
    const settings = withSections({http: {listen: ANY_PORT}}, overrides);
    const process = await start(kind, name, settings);
    return {...process, url: `http://${process.started.listen}`};
  }

  async function router(name, failureDomain, platformUrl, seeds, overrides) {
    const base = {
      vm: {failure_domain: failureDomain},
      caller: {listen: ANY_PORT},
      ops: {listen: ANY_PORT},
      peers: {listen: ANY_PORT, secret: PEER_SECRET, seeds: seeds.join(',')},
      platform: {url: platformUrl},
    };
    const process = await start('router', name, withSections(base, overrides));
    const {caller, ops, peers} = process.started;
    return {...process, caller, ops, peers, failureDomain};
  }

  async function ready(ops) {
    await until(`${ops} is ready`, async () => {
      const answer = await getJson(`http://${ops}/readyz`);
      return answer?.ready === true;
    });
  }

  async function stop() {
    for (const child of processes) {
      if (!child.running()) continue;
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all(processes.map(child => child.exited));
    if (process.env.WL_KEEP_LOGS) console.log(`logs are in ${dir}`);
    else rmSync(dir, {recursive: true, force: true});
  }

  return {dir, processes, start, platform, endpoint, router, ready, stop};
}

/** Sets faults of a simulated platform, engine or service. */
export async function sendControl(url, faults) {
  const res = await fetch(`${url}/control`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(faults),
  });
  if (!res.ok) throw new Error(`control refused: ${await res.text()}`);
}

/**
 * Starts a platform, engines, one plain service and routers. The table has one
 * customer (key `clerk-key`), an idempotent class `lookup` and a class
 * `register` whose calls must not be repeated.
 */
export async function startSmallFleet(options = {}) {
  const {
    engines: engineCount = 3,
    routers: routerCount = 3,
    domains = ['amman-1', 'amman-2', 'amman-3'],
    timeoutMs = 10_000,
    engineSettings = {},
    routerSettings = {},
    platformSettings = {},
    platformUrlOf = platform => platform.url,
  } = options;
  const fleet = createFleet();
  const platform = await fleet.platform(platformSettings);
  const engines = [];
  for (let i = 0; i < engineCount; i++) {
    engines.push(
      await fleet.endpoint('engine', `engine-${i + 1}`, engineSettings),
    );
  }
  const service = await fleet.endpoint('service', 'register-1');
  const rows = [
    classRow('lookup', 'coder', timeoutMs, true),
    classRow('register', 'register', timeoutMs, false),
    customerRow('clerks', 'clerk-key', ['lookup', 'register']),
    endpointRow('register-1', 'service', 'register', service.url, domains[0]),
    ...engines.map((engine, i) =>
      endpointRow(
        `engine-${i + 1}`,
        'engine',
        'coder',
        engine.url,
        domains[i % domains.length],
      ),
    ),
  ];
  await appendRows(platform.url, rows);
  const platformUrl = await platformUrlOf(platform);
  const routers = [];
  for (let i = 0; i < routerCount; i++) {
    const seeds = routers.map(router => router.peers);
    const domain = domains[i % domains.length];
    routers.push(
      await fleet.router(
        `router-${i + 1}`,
        domain,
        platformUrl,
        seeds,
        routerSettings,
      ),
    );
  }
  await Promise.all(routers.map(router => fleet.ready(router.ops)));
  return {fleet, platform, engines, service, routers, rows};
}

/** Creates a class row of the table. */
export function classRow(name, service, timeoutMs, idempotent, overrides = {}) {
  return {
    type: 'class',
    name,
    service,
    weight: 1,
    priority: 1,
    timeoutMs,
    idempotent,
    objective: 'first_token',
    ...overrides,
  };
}

/** Creates a customer row without limits. */
export function customerRow(name, key, classes, overrides = {}) {
  return {
    type: 'customer',
    name,
    keyHashes: [keyHash(key)],
    classes,
    weight: 1,
    requestsPerSecond: 0,
    tokensPerSecond: 0,
    maxConcurrent: 0,
    ...overrides,
  };
}

/** Creates an endpoint row of the table. */
export function endpointRow(
  name,
  kind,
  service,
  url,
  failureDomain,
  overrides,
) {
  return {
    type: 'endpoint',
    name,
    kind,
    service,
    url,
    failureDomain,
    kvCapacityTokens: kind === 'engine' ? 400_000 : 0,
    checksFencing: true,
    desired: 'serving',
    ...overrides,
  };
}
