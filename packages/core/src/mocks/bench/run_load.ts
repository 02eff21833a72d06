import type {RouterConfig} from '../../router/router_config.js';
import {routerConfig, tableRead} from '../router_events.js';
import {customerRow, endpointRow} from '../rows.js';
import {createTestRandom} from '../step_harness.js';
import type {LoadRecord} from './load_record.js';
import {createMixedLoad, loadClasses} from './mixed_load.js';
import {createVirtualClock} from './virtual_clock.js';
import {createVirtualEngine, idlePrefillMs} from './virtual_engine.js';
import {
  createVirtualRouter,
  type PlacedEngine,
  type VirtualRouter,
} from './virtual_router.js';

const DOMAINS = ['amman-1', 'amman-2'];
const KV_TOKENS = 400_000;
const REPORT_MS = 250;
const REPORT_LAG_MS = 20;
const TICK_MS = 20;
const SAMPLE_SIZE = 200_000;

/** One run of the mixed load. */
export interface LoadRun {
  strategy: RouterConfig['strategy'];
  queue: RouterConfig['queue'];
  /** Ratio of offered prefill time to the engines' time. */
  load: number;
  durationMs: number;
  engines: number;
  routers: number;
  seed: number;
}

/** Runs the load until every request has ended. */
export function runLoad(run: LoadRun): LoadRecord[] {
  const clock = createVirtualClock();
  const engines = new Map<string, PlacedEngine>();
  const names = Array.from({length: run.engines}, (_, i) => `engine-${i}`);
  for (const [i, name] of names.entries()) {
    const engine = createVirtualEngine(clock, name, KV_TOKENS);
    engines.set(name, {engine, failureDomain: domainOf(i)});
  }
  const routers = Array.from({length: run.routers}, (_, i) => {
    const cfg = benchConfig(run, i);
    const random = createTestRandom(run.seed * 1_000 + i);
    return createVirtualRouter(clock, cfg, engines, random);
  });
  const records: LoadRecord[] = [];
  const endMs = clock.nowMs() + run.durationMs;
  const table = tableRead(benchRows(names));
  for (const router of routers) router.step(table);
  every(
    REPORT_MS,
    offset => {
      const placed = engines.get(names[offset]!);
      const report = placed?.engine.report();
      if (!report) return;
      clock.after(REPORT_LAG_MS, () => {
        for (const router of routers) router.step(report);
      });
    },
    names.length,
  );
  every(TICK_MS, i => routers[i]!.step({kind: 'tick'}), routers.length);
  offer(routers, meanGapMs(run));
  // Requests end out of order, so `ended` advances to the oldest open one.
  let ended = 0;
  clock.run(() => {
    while (records[ended]?.outcome) ended += 1;
    return clock.nowMs() > endMs && ended === records.length;
  });
  return records;

  /** Calls with each index once per period, evenly spread over it. */
  function every(
    periodMs: number,
    call: (index: number) => void,
    count: number,
  ): void {
    for (let i = 0; i < count; i++) {
      const repeat = (): void => {
        call(i);
        clock.after(periodMs, repeat);
      };
      clock.after((periodMs * i) / count, repeat);
    }
  }

  function offer(to: VirtualRouter[], gapMs: number): void {
    const random = createTestRandom(run.seed);
    const next = createMixedLoad(random);
    const timeouts = new Map(loadClasses().map(c => [c.name, c.timeoutMs]));
    const arrive = (): void => {
      if (clock.nowMs() > endMs) return;
      const item = next();
      const record: LoadRecord = {
        ...item,
        arrivedMs: clock.nowMs(),
        timeoutMs: timeouts.get(item.event.className) ?? 0,
        firstTokenMs: undefined,
        totalMs: undefined,
        outcome: undefined,
      };
      records.push(record);
      to[Math.floor(random() * to.length)]!.arrive(record);
      clock.after(-Math.log(1 - random()) * gapMs, arrive);
    };
    arrive();
  }
}

function benchConfig(run: LoadRun, index: number): RouterConfig {
  return routerConfig({
    strategy: run.strategy,
    queue: run.queue,
    failureDomain: domainOf(index),
    // No engine fails, and none sends deltas between the first and the last.
    firstTokenTimeoutMs: 1e9,
    idleTimeoutMs: 1e9,
    maxWaiting: 10_000,
  });
}

function benchRows(names: string[]): Parameters<typeof tableRead>[0] {
  const classes = loadClasses();
  const customers = [0, 1, 2, 3].map(i =>
    customerRow({
      name: `customer-${i}`,
      keyHashes: [`hash-${i}`],
      classes: classes.map(c => c.name),
    }),
  );
  const engines = names.map((name, i) =>
    endpointRow({
      name,
      failureDomain: domainOf(i),
      kvCapacityTokens: KV_TOKENS,
    }),
  );
  return [...classes, ...customers, ...engines];
}

function domainOf(index: number): string {
  return DOMAINS[index % DOMAINS.length]!;
}

/** Mean time between arrivals that yields the target load. */
function meanGapMs(run: LoadRun): number {
  const next = createMixedLoad(createTestRandom(run.seed + 7));
  let workMs = 0;
  for (let i = 0; i < SAMPLE_SIZE; i++) {
    workMs += idlePrefillMs(next().event.promptTokens);
  }
  return workMs / SAMPLE_SIZE / (run.engines * run.load);
}
