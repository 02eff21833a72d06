// Frame of a case: addresses, record, time limit and exit status.
import console from 'node:console';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {createGateways} from './gateways.mjs';
import {startStore} from './store.mjs';

/** Heartbeat interval of the site `cotecode-jordan`. */
export const HEARTBEAT_MS = 1_200;
/** `stabilityWindowMs` of the site. */
export const STABILITY_MS = 3_000;
/** `drainMs` of the site. */
export const DRAIN_MS = 2_000;
export const ZONES = ['amman-a', 'amman-b', 'amman-c'];
export const HOST = 'review.example';
export const KEY = 'key-of-the-review';

const TIME_LIMIT_MS = 115_000;
const EXIT = {held: 0, broken: 1, notRun: 2};

/** Whether the disruption is left out. */
export const calm = process.env.TROUBLE === '0';

/**
 * Runs a case: `play` gets the stand-ins and resolves with whether the rule
 * was broken, or throws if the case could not run.
 */
export async function runCase(folder, {gateways: count}, play) {
  const lines = [];
  const startedMs = Date.now();
  const record = (kind, fields) => {
    lines.push(JSON.stringify({atMs: Date.now() - startedMs, kind, ...fields}));
  };
  const dir = mkdtempSync(join(tmpdir(), 'wl-review-'));
  const [a, b] = [1, 2].map(() => 1 + Math.floor(Math.random() * 250));
  const prefix = `127.${a}.${b}`;
  const closing = [];
  let fleet;
  let code = EXIT.notRun;

  let ending = false;

  async function end() {
    if (ending) return;
    ending = true;
    await fleet?.stopAll();
    for (const {close} of closing) close();
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    if (!process.env.KEEP_LOGS) rmSync(dir, {recursive: true, force: true});
    else console.log(`logs: ${dir}`);
    process.exit(code);
  }
  for (const name of ['SIGINT', 'SIGTERM'])
    process.once(name, () => void end());
  // An error in a callback must not leave processes behind.
  for (const name of ['uncaughtException', 'unhandledRejection']) {
    process.on(name, err => {
      code = EXIT.notRun;
      record('not_run', {error: String(err?.stack ?? err)});
      console.log(`not run: ${err?.stack ?? err}`);
      void end();
    });
  }
  const limit = setTimeout(() => {
    record('time_limit', {});
    console.log('not run: over the time limit');
    void end();
  }, TIME_LIMIT_MS);

  try {
    const store = await startStore(`${prefix}.1`, HEARTBEAT_MS);
    closing.push(store);
    const own = await createGateways({prefix, count, zones: ZONES, store, dir});
    fleet = own;
    const stage = {
      store,
      prefix,
      record,
      startedMs,
      ...own,
      /** Closes a stand-in at the end. */
      own: item => {
        closing.push(item);
        return item;
      },
    };
    const verdict = await play(stage);
    record('verdict', verdict);
    if (!ending) code = verdict.broken ? EXIT.broken : EXIT.held;
    console.log(JSON.stringify(verdict));
  } catch (err) {
    record('not_run', {error: String(err?.stack ?? err)});
    console.log(`not run: ${err?.stack ?? err}`);
  }
  clearTimeout(limit);
  await end();
}

/** Configuration of a small deployment, as the operator writes it. */
export function configuration({routes, services}) {
  return {
    version: 7,
    routes: routes.map(route => ({
      host: HOST,
      timeoutMs: 10_000,
      targetLatencyMs: 300,
      priority: 1,
      maxAttempts: 2,
      public: false,
      ...route,
    })),
    services: services.map(service => ({
      healthCheckPath: '/health',
      connectionLimit: 264,
      protocol: 'h1',
      tls: false,
      ...service,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{name: 'tenant-1', apiKeys: [KEY], priority: 1}],
  };
}

/** A route of streams that may be resumed. */
export const STREAM_ROUTE = {
  name: 'r-stream',
  pathPrefix: '/stream/',
  kind: 'streaming',
  service: 'llm',
  sessionAffinity: true,
  streamResumption: true,
  targetGapMs: 250,
};

/** Model engines with the profile of the site `cotecode-jordan`. */
export const MODEL_SERVICE = {
  name: 'llm',
  engineProfile: {
    slots: 11,
    kvCacheTokens: 315_000,
    kvTokenBytes: 163_840,
    linkMbps: 400_000,
    stride: 51,
    models: [{name: 'm'}],
    step_ms: 0.85,
    per_seq_ms: 0.006,
    context_per_k: 0.00285,
    read_per_s: 177_000,
    pairs_per_m: 0.184,
    chunk: 2_048,
    report_lag_ms: 200,
    usual: {prompt: 11_108, answer: 1_622},
    hopMs: 0.05,
  },
};

/** Prints how a share came about. */
export function share(part, whole) {
  return whole === 0 ? 0 : Math.round((part / whole) * 1_000) / 1_000;
}
