import {request} from 'undici';
import type {WatchedEndpoint} from '@wisterialadder/core/router/actions/watch_endpoints.js';
import type {EndpointReport} from '@wisterialadder/core/router/events/endpoint_report.js';
import type {EndpointUnreachable} from '@wisterialadder/core/router/events/endpoint_unreachable.js';
import type {Disposable} from '../lifecycle/disposable.js';
import {LOAD_REPORT} from './load_report.js';

const READ_TIMEOUT_MS = 1_000;

/** Reads the load reports of a set of endpoints at an interval. */
export interface LoadWatcher extends Disposable {
  watch(endpoints: WatchedEndpoint[]): void;
}

/** Creates a watcher of no endpoints. */
export function createLoadWatcher(
  intervalMs: number,
  push: (event: EndpointReport | EndpointUnreachable) => void,
): LoadWatcher {
  const timers = new Map<string, NodeJS.Timeout>();
  const urls = new Map<string, string>();

  function watch(endpoints: WatchedEndpoint[]): void {
    const names = new Set(endpoints.map(({name}) => name));
    for (const name of [...urls.keys()]) {
      if (!names.has(name)) forget(name);
    }
    for (const {name, url} of endpoints) {
      const known = urls.has(name);
      urls.set(name, url);
      if (!known) void readAndSchedule(name);
    }
  }

  function forget(name: string): void {
    clearTimeout(timers.get(name));
    timers.delete(name);
    urls.delete(name);
  }

  async function readAndSchedule(name: string): Promise<void> {
    const url = urls.get(name);
    if (url === undefined) return;
    const report = await readReport(url);
    if (!urls.has(name)) return;
    if (report) push({kind: 'endpoint_report', endpoint: name, ...report});
    else push({kind: 'endpoint_unreachable', endpoint: name});
    const timer = setTimeout(() => void readAndSchedule(name), intervalMs);
    timers.set(name, timer);
  }

  return {
    watch,
    dispose: () => {
      for (const name of [...urls.keys()]) forget(name);
    },
  };
}

async function readReport(url: string) {
  try {
    const res = await request(`${url}/wl/load`, {
      headersTimeout: READ_TIMEOUT_MS,
      bodyTimeout: READ_TIMEOUT_MS,
    });
    const parsed = LOAD_REPORT.safeParse(await res.body.json());
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
