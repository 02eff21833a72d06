import {request} from 'undici';
import type {WatchedEndpoint} from '@wisterialadder/core/router/actions/watch_endpoints.js';
import type {EndpointReport} from '@wisterialadder/core/router/events/endpoint_report.js';
import type {EndpointUnreachable} from '@wisterialadder/core/router/events/endpoint_unreachable.js';
import type {Disposable} from '../lifecycle/disposable.js';
import {LOAD_REPORT} from './load_report.js';

const READ_TIMEOUT_MS = 1_000;

/** Polls the load reports of a set of endpoints. */
export interface LoadWatcher extends Disposable {
  /** Replaces the set of endpoints. */
  watch(endpoints: WatchedEndpoint[]): void;
}

/** Creates a watcher that polls no endpoints yet. */
export function createLoadWatcher(
  intervalMs: number,
  push: (event: EndpointReport | EndpointUnreachable) => void,
): LoadWatcher {
  const watches = new Map<string, Watch>();

  function watch(endpoints: WatchedEndpoint[]): void {
    const names = new Set(endpoints.map(({name}) => name));
    for (const name of [...watches.keys()]) {
      if (!names.has(name)) stopWatching(name);
    }
    for (const {name, url} of endpoints) {
      const known = watches.get(name);
      if (known) known.url = url;
      else {
        const added: Watch = {url, timer: undefined};
        watches.set(name, added);
        void readAndSchedule(name, added);
      }
    }
  }

  function stopWatching(name: string): void {
    clearTimeout(watches.get(name)?.timer);
    watches.delete(name);
  }

  async function readAndSchedule(name: string, own: Watch): Promise<void> {
    const report = await readReport(own.url);
    // The endpoint may be removed and added again during the read; then only
    // the new watch continues.
    if (watches.get(name) !== own) return;
    if (report) push({kind: 'endpoint_report', endpoint: name, ...report});
    else push({kind: 'endpoint_unreachable', endpoint: name});
    own.timer = setTimeout(() => void readAndSchedule(name, own), intervalMs);
  }

  return {
    watch,
    dispose: () => {
      for (const name of [...watches.keys()]) stopWatching(name);
    },
  };
}

/** One endpoint that is being watched. */
interface Watch {
  url: string;
  timer: NodeJS.Timeout | undefined;
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
