// Starts wl-gateway with the command and the template of the deploy file.
import {spawn} from 'node:child_process';
import {createWriteStream, readFileSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const ROOT = join(import.meta.dirname, '..', '..');
const READY_TIMEOUT_MS = 20_000;
const READY_POLL_MS = 50;
const ASK_TIMEOUT_MS = 1_000;
/** Port of `/status`, as the template has it. */
const OPS_PORT = 9464;

/** Bounds and platform figures of the site `cotecode-jordan`. */
const BOUNDS = {
  gracePeriodS: 8,
  retryBudgetRatio: 0.2,
  retryBudgetExtra: 102,
  budgetWindowS: 10,
};

function deployFile() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const value = key => new RegExp(`^${key} = "(.*)"$`, 'm').exec(text)[1];
  return {run: value('run').split(' '), template: value('template')};
}

/** Fills in the placeholders of a template, lists joined by commas. */
function render(template, fields) {
  return template.replace(/\{\{([\w.]+)\}\}/g, (_, path) => {
    const value = path.split('.').reduce((at, name) => at?.[name], fields);
    return Array.isArray(value) ? value.join(',') : `${value ?? ''}`;
  });
}

/** Status and text of an answer; status 0 if there is none. */
function fetchText(url) {
  return new Promise(resolve => {
    const failed = () => resolve({status: 0, text: ''});
    const req = get(url, {agent: false, timeout: ASK_TIMEOUT_MS}, res => {
      let text = '';
      res.setEncoding('utf8');
      res.on('data', part => (text += part));
      res.on('end', () => resolve({status: res.statusCode, text}));
      res.on('error', failed);
    });
    req.on('timeout', () => req.destroy());
    req.on('error', failed);
  });
}

/** A port that is free on all addresses. */
async function freePort(ips) {
  for (;;) {
    const port = 20_000 + Math.floor(Math.random() * 10_000);
    const free = await Promise.all(ips.map(ip => isFree(ip, port)));
    if (!free.includes(false)) return port;
  }
}

function isFree(ip, port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

/** Prepares `count` gateways, each with an address of its own. */
export async function createGateways({prefix, count, zones, store, dir}) {
  const {run, template} = deployFile();
  const text = readFileSync(join(ROOT, template), 'utf8');
  const ips = Array.from({length: count}, (_, i) => `${prefix}.${i + 10}`);
  const ports = [];
  while (ports.length < 4) {
    const port = await freePort(ips);
    if (!ports.includes(port)) ports.push(port);
  }
  const [frontend, ready, controlPlane, internal] = ports;
  const seedNodes = ips.slice(0, 3).map(ip => `${ip}:${controlPlane}`);
  const children = new Set();

  function create(ip, index) {
    const file = join(dir, `gateway-${index}.ini`);
    const settings = render(text, {
      ip,
      zone: zones[index % zones.length],
      listenAddresses: {
        frontend: `${ip}:${frontend}`,
        ready: `${ip}:${ready}`,
        controlPlane: `${ip}:${controlPlane}`,
      },
      internalPortRange: [internal, internal + 15],
      seedNodes,
      platform: {address: store.address},
      bounds: BOUNDS,
    });
    writeFileSync(file, settings);
    const gateway = {
      name: `gateway-${index}`,
      ip,
      zone: zones[index % zones.length],
      port: frontend,
      child: undefined,
      exited: undefined,
    };

    gateway.start = () => {
      const [command, ...args] = run;
      const {PATH, HOME, LANG} = process.env;
      const child = spawn(command, args, {
        cwd: ROOT,
        env: {PATH, HOME, LANG, WISTERIALADDER_CONFIG: file},
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      children.add(child);
      const log = createWriteStream(join(dir, `${gateway.name}.log`), {
        flags: 'a',
      });
      child.stdout.pipe(log, {end: false});
      child.stderr.pipe(log, {end: false});
      gateway.child = child;
      gateway.exited = new Promise(resolve => {
        child.once('exit', (code, signal) => {
          children.delete(child);
          resolve({code, signal});
        });
      });
    };
    gateway.signal = name => gateway.child.kill(name);
    gateway.running = () =>
      gateway.child.exitCode === null && gateway.child.signalCode === null;
    gateway.isReady = async () => {
      const answer = await fetchText(`http://${ip}:${ready}/readiness`);
      return answer.status === 200;
    };
    gateway.awaitReady = async () => {
      const endMs = Date.now() + READY_TIMEOUT_MS;
      while (!(await gateway.isReady())) {
        if (Date.now() > endMs) throw new Error(`${gateway.name} not ready`);
        await sleep(READY_POLL_MS);
      }
    };
    gateway.status = async () => {
      const answer = await fetchText(`http://${ip}:${OPS_PORT}/status`);
      return JSON.parse(answer.text);
    };
    return gateway;
  }

  const gateways = ips.map(create);
  return {
    gateways,
    startAll: async () => {
      for (const gateway of gateways) gateway.start();
      await Promise.all(gateways.map(({awaitReady}) => awaitReady()));
    },
    /** Ends all processes that are still running. */
    stopAll: async () => {
      for (const child of children) {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      }
      await Promise.all(gateways.map(({exited}) => exited));
    },
  };
}
