import type {EndpointReport} from '../router/events/endpoint_report.js';
import type {EndpointRow} from '../types/endpoint_row.js';
import type {EngineView} from './engine_view.js';

/** Age at which a report is too old to be the state of the engine. */
const STALE_AFTER_MS = 5_000;
/** Time without a report after which another engine takes the replica. */
const ABSENT_AFTER_MS = 30_000;

/** Engines of the table and their load reports. */
export interface EngineViews {
  /** Adds, updates and removes engines to match the rows of the table. */
  sync(nowMs: number, rows: EndpointRow[]): void;
  report(nowMs: number, event: EndpointReport): void;
  /** Engines that a model may be placed on. */
  candidates(nowMs: number, model: string): EngineView[];
  /** Engines with a recent report. */
  known(nowMs: number): EngineView[];
}

/** Creates an empty set of views. */
export function createEngineViews(): EngineViews {
  const views = new Map<string, EngineView>();

  function sync(nowMs: number, rows: EndpointRow[]): void {
    const engines = rows.filter(row => row.kind === 'engine');
    const names = new Set(engines.map(row => row.name));
    for (const name of [...views.keys()]) {
      if (!names.has(name)) views.delete(name);
    }
    for (const row of engines) {
      const view = views.get(row.name);
      if (view) view.row = row;
      else views.set(row.name, {row, report: undefined, lastSeenMs: nowMs});
    }
  }

  function report(nowMs: number, event: EndpointReport): void {
    const view = views.get(event.endpoint);
    if (!view) return;
    view.report = event;
    view.lastSeenMs = nowMs;
  }

  function serving(): EngineView[] {
    return [...views.values()].filter(
      ({row, report}) => row.desired === 'serving' && !report?.leaving,
    );
  }

  return {
    sync,
    report,
    candidates: (nowMs, model) =>
      serving().filter(
        ({row, lastSeenMs}) =>
          row.service === model && nowMs - lastSeenMs < ABSENT_AFTER_MS,
      ),
    known: nowMs =>
      serving().filter(
        ({report, lastSeenMs}) => report && nowMs - lastSeenMs < STALE_AFTER_MS,
      ),
  };
}
