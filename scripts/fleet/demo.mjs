// Demo: runs the traffic of both users through a complete fleet on loopback.
import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {chat, promptOf} from './caller.mjs';
import {demoRows} from './demo_rows.mjs';
import {createFleet, until} from './fleet.mjs';
import {runToEnd} from './process.mjs';
import {keyHash} from './table_rows.mjs';

const MIX_FILES = [
  {file: 'packages/standins/mixes/cotecode.json', objective: 'first_token'},
  {file: 'packages/standins/mixes/langar.json', objective: 'short_slowdown'},
];
const DOMAINS = ['zone-1', 'zone-2', 'zone-3'];
const ENGINES_PER_MODEL = 4;
const ROUTERS = 6;
const LOAD_MS = 25_000;
const TIME_SCALE = 20;
/** More than twice the 400,000 tokens that one engine can hold. */
const OVERSIZED_PROMPT_TOKENS = 900_000;
const ADMIN_KEY = 'demo-editor';

async function main() {
  const mixes = MIX_FILES.map(({file, objective}) => ({
    ...JSON.parse(readFileSync(file, 'utf8')),
    objective,
  }));
  const fleet = createFleet();
  try {
    const report = await runDemo(fleet, mixes);
    process.exitCode = report.ok ? 0 : 1;
  } finally {
    await fleet.stop();
  }
}

async function runDemo(fleet, mixes) {
  print('starting simulated platform, engines and plain services');
  const platform = await fleet.platform();
  const endpoints = await startEndpoints(fleet, mixes);
  print(`starting ${ROUTERS} routers, ${DOMAINS.length} placers and wl-admin`);
  const routers = await startRouters(fleet, platform);
  const admin = await startControlPlane(fleet, platform, routers);
  await importTable(admin, demoRows(mixes, endpoints));
  await Promise.all(routers.map(router => fleet.ready(router.ops)));
  print(`running ${LOAD_MS / 1_000} s of both users' traffic`);
  const oversized = sendOversizedPrompt(routers[0], mixes[0]);
  const load = await runLoad(fleet, mixes, routers, endpoints);
  process.stdout.write(load.stdout);
  const answer = await oversized;
  print(
    `prompt of ${OVERSIZED_PROMPT_TOKENS} tokens over several engines: ` +
      `${answer.outcome}, first token after ${Math.round(answer.firstTokenMs)} ms`,
  );
  const ok = load.code === 0 && answer.outcome === 'completed';
  print(ok ? 'demo passed' : 'demo failed: see above');
  return {ok};
}

async function startEndpoints(fleet, mixes) {
  const endpoints = [];
  const add = async (kind, service, i, settings) => {
    const name = `${service}-${i + 1}`;
    const {url} = await fleet.endpoint(kind, name, settings);
    const domain = DOMAINS[i % DOMAINS.length];
    endpoints.push({name, kind, service, url, domain});
  };
  for (const mix of mixes) {
    const model = mix.classes.find(cls => cls.model).model;
    const {service} = mix.classes.find(cls => cls.service);
    const engine = {time_scale: TIME_SCALE, models: `${model}@1`};
    for (let i = 0; i < ENGINES_PER_MODEL; i++) {
      await add('engine', model, i, {engine});
    }
    await add('service', service, 0, {});
  }
  return endpoints;
}

async function startRouters(fleet, platform) {
  const routers = [];
  for (let i = 0; i < ROUTERS; i++) {
    const name = `router-${i + 1}`;
    const domain = DOMAINS[i % DOMAINS.length];
    const seeds = routers.map(router => router.peers);
    const settings = {routing: {fleet_size: ROUTERS}};
    routers.push(
      await fleet.router(name, domain, platform.url, seeds, settings),
    );
  }
  return routers;
}

async function startControlPlane(fleet, platform, routers) {
  const listen = '127.0.0.1:0';
  for (const domain of DOMAINS) {
    await fleet.start('placer', `placer-${domain}`, {
      vm: {failure_domain: domain},
      ops: {listen},
      platform: {url: platform.url},
    });
  }
  const admin = await fleet.start('admin', 'admin', {
    admin: {listen},
    ops: {listen},
    platform: {url: platform.url},
    keys: {editors: `demo:${keyHash(ADMIN_KEY)}`},
    routers: {ops: routers.map(router => router.ops).join(',')},
  });
  return `http://${admin.started.api}`;
}

async function importTable(admin, rows) {
  const changes = rows.map(({type, name, ...values}) => ({
    type,
    name,
    values,
  }));
  await until('the table is accepted', async () => {
    const res = await fetch(`${admin}/v1/edits`, {
      method: 'POST',
      headers: {authorization: `Bearer ${ADMIN_KEY}`},
      body: JSON.stringify({id: 'demo-table', changes}),
    });
    if (res.status >= 400 && res.status < 500) {
      throw new Error(`table refused: ${await res.text()}`);
    }
    return res.status === 200;
  });
}

function sendOversizedPrompt(router, mix) {
  const cls = mix.classes.find(candidate => candidate.name === 'register');
  const customer = mix.customers.find(({name}) => name === cls.customers[0]);
  return chat(router.caller, {
    key: customer.key,
    cls: cls.name,
    model: cls.model,
    prompt: promptOf(OVERSIZED_PROMPT_TOKENS, 'register'),
    maxTokens: 32,
  });
}

function runLoad(fleet, mixes, routers, endpoints) {
  const mix = join(fleet.dir, 'mix.json');
  const customers = mixes.flatMap(part => part.customers);
  const classes = mixes.flatMap(part => part.classes);
  const {requestsPerSecond, burst} = mixes[0];
  writeFileSync(
    mix,
    JSON.stringify({requestsPerSecond, burst, customers, classes}),
  );
  return runToEnd({
    name: 'load',
    bin: 'packages/standins/bin/wl-load.js',
    dir: fleet.dir,
    settings: {
      load: {
        routers: routers.map(router => `http://${router.caller}`).join(','),
        services: endpoints
          .filter(({kind}) => kind === 'service')
          .map(({url}) => url)
          .join(','),
        mix,
        duration_ms: LOAD_MS,
      },
    },
  });
}

function print(text) {
  process.stdout.write(`${text}\n`);
}

await main();
