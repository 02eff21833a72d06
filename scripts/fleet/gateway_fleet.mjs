// Starts gateways as separate processes in front of a simulated platform.
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {startDoublePlatform} from '../../platform/dist/mocks/double_platform.js';
import {sendRequest} from '../../platform/dist/mocks/double_client.js';
import {freePort} from './free_port.mjs';
import {startProcess} from './process.mjs';

const BIN = 'platform/dist/main.js';
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const READY_TIMEOUT_MS = 10_000;
const KEY = 'key-1';

/**
 * Starts a platform and gateways; every gateway has an address of its own.
 * `spare` more have one as well and can be started later. `settings` adds
 * sections to the settings of each gateway, `expectedStatus` is its first answer
 * to the readiness question.
 */
export async function startGatewayFleet({
  gateways: count = 2,
  spare = 0,
  engines = 4,
  services = 2,
  memoryTokens,
  bin = BIN,
  flags,
  args,
  front,
  storeAddress,
  expectedStatus = 200,
  settings = {},
} = {}) {
  const dir = mkdtempSync(join(tmpdir(), 'wl-gateway-'));
  const platform = await startDoublePlatform({
    engines,
    services,
    memoryTokens,
    front,
  });
  const ips = Array.from({length: count + spare}, (_, i) => `127.0.0.${i + 2}`);
  const port = await freePort(ips);
  const processes = [];
  const seeds = ips.map(ip => `${ip}:1`);
  let sent = 0;

  /** @param options.clockShiftMs offset of the VM's wall clock */
  async function start(index, {clockShiftMs = 0} = {}) {
    const ip = ips[index];
    const gateway = await startProcess({
      name: `gateway-${index + 1}-${processes.length}`,
      bin,
      flags,
      args,
      dir,
      clockShiftMs,
      settings: {
        vm: {failure_domain: ZONES[index % ZONES.length]},
        caller: {listen: `${ip}:0`, probe: `${ip}:0`},
        ops: {listen: `${ip}:0`},
        peers: {listen: `${ip}:${port}`, secret: `fleet-${port}`, seeds},
        store: {address: storeAddress ?? platform.store.address},
        shutdown: {grace: 8, notice: 300},
        retries: {ratio: 0.2, extra: 100, window: 10},
        ...settings,
      },
    });
    processes.push(gateway);
    return gateway;
  }

  /** Sends a generation or, without `tokens`, a call of a plain service. */
  function send(gateway, overrides = {}) {
    sent += 1;
    return sendRequest({
      gateway: gateway.started.caller,
      attemptId: `a${sent}`,
      path: '/lookup/1',
      key: KEY,
      tokens: [2_000, 400],
      deadlineMs: 8_000,
      ...overrides,
    });
  }

  async function ready(gateway, expectedStatus = 200) {
    const url = `http://${gateway.started.probe}/readiness`;
    const endMs = Date.now() + READY_TIMEOUT_MS;
    for (;;) {
      const res = await fetch(url).catch(() => undefined);
      if (res?.status === expectedStatus) return;
      if (Date.now() > endMs)
        throw new Error(`${gateway.name}: not ${expectedStatus}`);
      await sleep(20);
    }
  }

  async function status(gateway) {
    const res = await fetch(`http://${gateway.started.ops}/status`);
    return res.json();
  }

  async function stop() {
    for (const gateway of processes) {
      if (!gateway.running()) continue;
      gateway.kill('SIGCONT');
      gateway.kill('SIGKILL');
    }
    await Promise.all(processes.map(gateway => gateway.exited));
    await platform.close();
    if (process.env.WL_KEEP_LOGS) console.log(`logs: ${dir}`);
    else rmSync(dir, {recursive: true, force: true});
  }

  const gateways = [];
  try {
    for (let i = 0; i < count; i++) gateways.push(await start(i));
    await Promise.all(gateways.map(gateway => ready(gateway, expectedStatus)));
  } catch (err) {
    // Leftover processes would keep the test runner waiting forever.
    await stop();
    throw err;
  }
  return {platform, gateways, start, send, ready, status, stop};
}
