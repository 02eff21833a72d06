/* global URL, process, fetch */
// Starts gateways as the deploy file says, on loopback addresses.
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const START_TIMEOUT_MS = 15_000;

/** Bounds of a small deployment, as in the users' sheets. */
const BOUNDS = {
  gracePeriodS: 8,
  retryBudgetRatio: 0.2,
  retryBudgetExtra: 102,
  budgetWindowS: 10,
};
const LIMITS = {memoryMb: 350, fileDescriptors: 4_100};

/** A loopback address that nothing else is likely to use. */
export function loopback() {
  const part = () => 1 + Math.floor(Math.random() * 250);
  return `127.${part()}.${part()}.${part()}`;
}

export async function freePort(ip) {
  const server = createServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, ip, resolve);
  });
  const {port} = server.address();
  await new Promise(resolve => server.close(resolve));
  return port;
}

function fill(template, values) {
  return template.replace(/\{\{([\w.]+)\}\}/g, (_match, path) => {
    const value = path.split('.').reduce((at, key) => at?.[key], values);
    return Array.isArray(value) ? value.join(',') : String(value ?? '');
  });
}

/** Starts one gateway; resolves once it is ready. */
export async function startGateway({store, limits = {}, bounds = {}, log}) {
  const dir = mkdtempSync(join(tmpdir(), 'review-'));
  const ip = loopback();
  const values = {
    zone: 'zone-a',
    ip,
    listenAddresses: {
      frontend: `${ip}:${await freePort(ip)}`,
      ready: `${ip}:${await freePort(ip)}`,
    },
    internalPortRange: [await freePort(ip)],
    seedNodes: [`${ip}:1`],
    platform: {address: store.address},
    bounds: {...BOUNDS, ...bounds},
    limits: {...LIMITS, ...limits},
  };
  const template = readFileSync(join(ROOT, 'deploy/gateway.ini'), 'utf8');
  const file = join(dir, 'gateway.ini');
  writeFileSync(file, fill(template, values));
  const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, command] = /^run = "(.*)"$/m.exec(deploy);
  const [program, ...args] = command.split(' ');
  const {PATH, HOME, LANG} = process.env;
  const child = spawn(program, args, {
    cwd: ROOT,
    env: {PATH, HOME, LANG, WISTERIALADDER_CONFIG: file},
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const ended = new Promise(resolve =>
    child.once('exit', (code, signal) => resolve(`${code ?? signal}`)),
  );
  let output = '';
  const keep = bytes => {
    output = (output + bytes).slice(-200_000);
    log?.(String(bytes));
  };
  child.stdout.on('data', keep);
  child.stderr.on('data', keep);
  const running = () => child.exitCode === null && child.signalCode === null;

  async function stop() {
    if (running()) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await ended;
    rmSync(dir, {recursive: true, force: true});
  }

  const url = `http://${values.listenAddresses.ready}/readiness`;
  const endMs = Date.now() + START_TIMEOUT_MS;
  for (;;) {
    const ready = await fetch(url).then(
      res => res.status === 200,
      () => false,
    );
    if (ready) break;
    if (!running() || Date.now() > endMs) {
      await stop();
      throw new Error(`the gateway did not become ready\n${output}`);
    }
    await sleep(50);
  }
  return {
    pid: child.pid,
    address: values.listenAddresses.frontend,
    readyAddress: values.listenAddresses.ready,
    file,
    ended,
    running,
    output: () => output,
    kill: signal => child.kill(signal),
    stop,
  };
}

/** A configuration as the operator writes it; `over` replaces fields. */
export function configuration(over = {}) {
  const route = {
    host: 'review.example',
    priority: 1,
    public: false,
    timeoutMs: 15_000,
    targetLatencyMs: 3_000,
  };
  return {
    version: 3,
    routes: [
      {
        ...route,
        name: 'write',
        pathPrefix: '/write/',
        kind: 'non_idempotent',
        service: 'app',
        maxAttempts: 1,
      },
      {
        ...route,
        name: 'read',
        pathPrefix: '/read/',
        kind: 'idempotent',
        service: 'app',
        maxAttempts: 2,
      },
    ],
    services: [{name: 'app', connectionLimit: 100, healthCheckPath: '/health'}],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{name: 'clerks', apiKeys: ['key-1']}],
    ...over,
  };
}
