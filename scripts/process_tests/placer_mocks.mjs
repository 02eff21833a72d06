import {createFleet, endpointRow, getJson, until} from '../fleet/fleet.mjs';
import {appendRows} from '../fleet/table_rows.mjs';
import {metric} from './mocks.mjs';

export const LEASE_DURATION_MS = 1_500;
const DOMAINS = ['amman-1', 'amman-2', 'amman-3'];
const ENGINE = {
  engine: {model_load_ms: 200},
  report: {interval_ms: 50, lag_ms: 50},
};

/**
 * Starts placers and three engines with model version 1, and asks for two
 * replicas of version 2.
 */
export async function placersFor(t) {
  const fleet = createFleet();
  t.after(() => fleet.stop());
  const platform = await fleet.platform({weights: {load_ms: 50}});
  const engines = [];
  for (const [i, domain] of DOMAINS.entries()) {
    const name = `engine-${i + 1}`;
    const engine = await fleet.endpoint('engine', name, ENGINE);
    const row = endpointRow(name, 'engine', 'coder', engine.url, domain);
    engines.push({...engine, row});
  }
  const model = {
    type: 'model',
    name: 'coder',
    version: '2',
    adapters: ['isic'],
    minReplicas: 2,
    maxReplicas: 2,
  };
  await appendRows(platform.url, [model, ...engines.map(({row}) => row)]);
  const placers = [];
  for (const [i, domain] of DOMAINS.entries()) {
    const process = await fleet.start('placer', `placer-${i + 1}`, {
      vm: {failure_domain: domain},
      ops: {listen: '127.0.0.1:0'},
      platform: {url: platform.url},
      lease: {duration: LEASE_DURATION_MS},
      placement: {load_interval: 1_000, start_jitter: 0},
    });
    placers.push({...process, ops: process.started.ops});
  }
  return {platform, engines, placers};
}

/** Placers that report that they hold the lease. */
export async function leaseHolders(placers) {
  const held = await Promise.all(
    placers.map(placer => metric(placer, 'wl_lease_held')),
  );
  return placers.filter((_, i) => held[i] === 1);
}

/** Waits until exactly one placer holds the lease. */
export async function waitForSingleHolder(placers) {
  let found = [];
  await until('one placer holds the lease', async () => {
    found = await leaseHolders(placers);
    return found.length === 1;
  });
  return found[0];
}

/** Waits until the engines serve the models that the table asks for. */
export async function waitForPlacement(engines) {
  await until('two engines hold version 2 and none version 1', async () => {
    const reports = await Promise.all(
      engines.map(({url}) => getJson(`${url}/wl/load`)),
    );
    const serving = reports.filter(({models}) => models.includes('coder@2'));
    return (
      serving.length === 2 &&
      serving.every(({adapters}) => adapters.includes('coder/isic')) &&
      reports.every(({models}) => !models.includes('coder@1'))
    );
  });
}
