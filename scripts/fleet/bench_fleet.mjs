import {classRow, createFleet, customerRow, endpointRow} from './fleet.mjs';
import {COST} from './bench_capacity.mjs';
import {appendRows} from './table_rows.mjs';

export const ENGINES = 8;
/** Speed of engines relative to real time; 10 saturates the machine. */
export const TIME_SCALE = 3;
const ROUTERS = 3;
const DOMAINS = ['amman-1', 'amman-2', 'amman-3'];
/** Classes with shorter timeouts come first. */
const PRIORITIES = [
  {maxTimeoutMs: 10_000, priority: 1, objective: 'first_token'},
  {maxTimeoutMs: 60_000, priority: 4, objective: 'completion'},
  {maxTimeoutMs: Infinity, priority: 6, objective: 'completion'},
];

/** Starts the processes of one variant with the rows of the mix. */
export async function startBenchFleet(fleet, mix, routing) {
  const model = mix.classes.find(({kind}) => kind === 'chat').model;
  const service = mix.classes.find(({kind}) => kind === 'service').service;
  const platform = await fleet.platform();
  const engines = await Promise.all(
    Array.from({length: ENGINES}, (_, i) =>
      fleet.endpoint('engine', `engine-${i + 1}`, {
        engine: {time_scale: TIME_SCALE, models: `${model}@1`, seed: i + 1},
        memory: {kv_tokens: 400_000, cache_event_delay_ms: 200},
        cost: COST,
        report: {lag_ms: 300},
      }),
    ),
  );
  const plain = await fleet.endpoint('service', 'service-1');
  await appendRows(platform.url, [
    ...mix.classes.map(rowOfClass),
    ...mix.customers.map(({name, key}) =>
      customerRow(name, key, classesOf(mix, name)),
    ),
    endpointRow('service-1', 'service', service, plain.url, DOMAINS[0]),
    ...engines.map(({url}, i) =>
      endpointRow(
        `engine-${i + 1}`,
        'engine',
        model,
        url,
        DOMAINS[i % DOMAINS.length],
      ),
    ),
  ]);
  const routers = [];
  for (let i = 0; i < ROUTERS; i++) {
    const seeds = routers.map(({peers}) => peers);
    const settings = {routing: {...routing, fleet_size: ROUTERS, seed: i + 1}};
    const name = `router-${i + 1}`;
    routers.push(
      await fleet.router(name, DOMAINS[i], platform.url, seeds, settings),
    );
  }
  await Promise.all(routers.map(({ops}) => fleet.ready(ops)));
  return {routers, engines, plain};
}

export {createFleet};

function rowOfClass({name, kind, model, service, timeoutMs, idempotent}) {
  const {priority, objective} = PRIORITIES.find(
    ({maxTimeoutMs}) => timeoutMs <= maxTimeoutMs,
  );
  const target = kind === 'chat' ? model : service;
  return classRow(name, target, timeoutMs, idempotent ?? true, {
    priority,
    objective,
  });
}

function classesOf(mix, customer) {
  return mix.classes
    .filter(({customers}) => customers.includes(customer))
    .map(({name}) => name);
}
