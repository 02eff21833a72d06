import {startSmallFleet, until, getJson} from '../fleet/fleet.mjs';

/** Settings with timeouts short enough for tests. */
export const QUICK_ROUTER = {
  timeouts: {drain_notice: 300, idle: 1_500, load_report_interval: 100},
};

/** Settings of an engine that answers a short prompt within about 100 ms. */
export const QUICK_ENGINE = {
  engine: {time_scale: 4},
  report: {interval_ms: 50, lag_ms: 50},
};

/** Starts a small fleet and stops it when the test ends. */
export async function fleetFor(t, options = {}) {
  const small = await startSmallFleet({
    engineSettings: QUICK_ENGINE,
    routerSettings: QUICK_ROUTER,
    ...options,
  });
  t.after(() => small.fleet.stop());
  return small;
}

/** KV tokens that an engine holds for sessions, without its prefix cache. */
export async function sessionTokens(engine) {
  const report = await getJson(`${engine.url}/wl/load`);
  if (!report) return 0;
  return report.sessions.reduce((sum, session) => sum + session.tokens, 0);
}

/** Waits until no running engine holds memory for a session. */
export async function waitForFreedMemory(engines, timeoutMs) {
  await until(
    'engine memory is back to the baseline',
    async () => {
      const held = await Promise.all(engines.map(sessionTokens));
      return held.every(tokens => tokens === 0);
    },
    timeoutMs,
  );
}

/** Times that a plain service ran the call with a key. */
export async function executionsOf(service, idempotencyKey) {
  const byKey = await getJson(`${service.url}/executions`);
  return byKey[idempotencyKey] ?? 0;
}

/** Attempts that all routers have started on an endpoint. */
export async function attemptsOn(routers, endpoint) {
  const counts = await Promise.all(
    routers.map(router =>
      metric(router, `wl_attempts_total{endpoint="${endpoint}"}`),
    ),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}

/** Offset of the next table record that a router expects. */
export function tableOffset(router) {
  return metric(router, 'wl_table_offset');
}

/** Value of a metric of a process; 0 if it has none. */
export async function metric(router, name) {
  const res = await fetch(`http://${router.ops}/metrics`);
  const lines = (await res.text()).split('\n');
  const line = lines.find(candidate => candidate.startsWith(`${name} `));
  return line ? Number(line.split(' ').at(-1)) : 0;
}
