import {fork} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {endpoints} from './rows.mjs';
import {createLoadWatcher} from '../../packages/runtime/dist/endpoints/load_watcher.js';

const SERVER = new URL('report_server.mjs', import.meta.url);

async function reportsRow(url, bytes, count) {
  const seconds = 5;
  let reads = 0;
  let failed = 0;
  const watcher = createLoadWatcher(500, event => {
    if (event.kind === 'endpoint_report') reads += 1;
    else failed += 1;
  });
  const watched = endpoints(count).map(({name}) => ({name, url}));
  watcher.watch(watched);
  await sleep(2_000);
  reads = 0;
  const start = process.cpuUsage();
  await sleep(seconds * 1_000);
  const {user, system} = process.cpuUsage(start);
  const row = {
    endpoints: count,
    'reads/s': Math.round(reads / seconds),
    failed,
    'CPU % of a core': +((user + system) / seconds / 1e4).toFixed(1),
    'CPU us per read': Math.round((user + system) / reads),
    'body KB/s': Math.round((reads * bytes) / seconds / 1_000),
  };
  watcher.dispose();
  return row;
}

/** Measures CPU time and bytes of reading load reports. */
export async function measureReports() {
  const child = fork(fileURLToPath(SERVER));
  const [{port, bytes}] = await once(child, 'message');
  const rows = [];
  for (const count of [17, 100, 300, 600]) {
    rows.push(await reportsRow(`http://127.0.0.1:${port}`, bytes, count));
  }
  console.table(rows);
  console.log(`body of a report with 16 sessions: ${bytes} bytes`);
  child.disconnect();
}
