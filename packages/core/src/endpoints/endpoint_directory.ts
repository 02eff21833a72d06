import type {EndpointReport} from '../router/events/endpoint_report.js';
import type {RouterContext} from '../router/router_context.js';
import type {EndpointRow} from '../types/endpoint_row.js';
import type {EndpointView} from './endpoint_view.js';

const FAILURES_BEFORE_BLOCK = 3;
const BLOCK_MS = 1_000;
const MAX_BLOCK_MS = 15_000;
const UNKNOWN_INCARNATION = '';

/** The endpoints of the table and what is known of each. */
export interface EndpointDirectory {
  /** Takes over the rows of a new table. */
  syncRows(ctx: RouterContext, rows: EndpointRow[]): void;
  report(ctx: RouterContext, report: EndpointReport): void;
  unreachable(ctx: RouterContext, name: string): void;
  /** Stops new work to the incarnation of the endpoint seen last. */
  markLeaving(ctx: RouterContext, name: string, source: string): void;
  attemptStarted(name: string, promptTokens: number): void;
  /** The attempt's prefill is over: its first token came or it ended. */
  prefillEnded(name: string, promptTokens: number): void;
  attemptEnded(ctx: RouterContext, name: string, ok: boolean): void;
  /** Endpoints of a service that may take new work now. */
  candidates(service: string, nowMs: number): EndpointView[];
  /** Whether any endpoint of the table serves the service. */
  serves(service: string): boolean;
  /** Rows of all endpoints of a service. */
  rowsOf(service: string): EndpointRow[];
  get(name: string): EndpointView | undefined;
}

/** Creates an empty directory. */
export function createEndpointDirectory(): EndpointDirectory {
  const views = new Map<string, EndpointView>();
  const byService = new Map<string, EndpointView[]>();

  function syncRows(ctx: RouterContext, rows: EndpointRow[]): void {
    const names = new Set(rows.map(row => row.name));
    for (const name of [...views.keys()]) {
      if (!names.has(name)) views.delete(name);
    }
    for (const row of rows) {
      const view = views.get(row.name);
      if (view) view.row = row;
      else views.set(row.name, newView(row));
    }
    groupByService();
    ctx.emit({
      kind: 'watch_endpoints',
      endpoints: rows
        .filter(row => row.desired !== 'stopped')
        .map(row => ({name: row.name, url: row.url})),
    });
  }

  function report(ctx: RouterContext, report: EndpointReport): void {
    const view = views.get(report.endpoint);
    if (!view) return;
    view.report = report;
    view.sentTokens = 0;
    if (report.leaving) markLeaving(ctx, report.endpoint, 'report');
    else if (view.leavingIncarnation !== report.incarnation) {
      view.leavingIncarnation = undefined;
    }
  }

  function unreachable(ctx: RouterContext, name: string): void {
    const view = views.get(name);
    if (view) countFailure(ctx, view);
  }

  function markLeaving(ctx: RouterContext, name: string, source: string): void {
    const view = views.get(name);
    if (!view) return;
    const incarnation = view.report?.incarnation ?? UNKNOWN_INCARNATION;
    if (view.leavingIncarnation === incarnation) return;
    view.leavingIncarnation = incarnation;
    ctx.emit({
      kind: 'write_log',
      event: 'WL5001',
      fields: {endpoint: name, state: 'leaving', source},
    });
  }

  function attemptStarted(name: string, promptTokens: number): void {
    const view = views.get(name);
    if (!view) return;
    view.outstanding += 1;
    view.sentTokens += promptTokens;
    view.pendingTokens += promptTokens;
  }

  function prefillEnded(name: string, promptTokens: number): void {
    const view = views.get(name);
    if (!view) return;
    view.pendingTokens = Math.max(0, view.pendingTokens - promptTokens);
  }

  function attemptEnded(ctx: RouterContext, name: string, ok: boolean): void {
    const view = views.get(name);
    if (!view) return;
    view.outstanding = Math.max(0, view.outstanding - 1);
    if (ok) view.consecutiveFailures = 0;
    else countFailure(ctx, view);
  }

  function countFailure(ctx: RouterContext, view: EndpointView): void {
    view.consecutiveFailures += 1;
    const beyond = view.consecutiveFailures - FAILURES_BEFORE_BLOCK;
    if (beyond < 0) return;
    const blockMs = Math.min(MAX_BLOCK_MS, BLOCK_MS * 2 ** beyond);
    view.blockedUntilMs = ctx.nowMs + blockMs;
    ctx.emit({
      kind: 'write_log',
      event: 'WL5001',
      fields: {endpoint: view.row.name, state: 'blocked', blockMs},
    });
  }

  function candidates(service: string, nowMs: number): EndpointView[] {
    return viewsOf(service).filter(
      view =>
        view.row.desired === 'serving' &&
        view.leavingIncarnation === undefined &&
        view.blockedUntilMs <= nowMs,
    );
  }

  function groupByService(): void {
    byService.clear();
    for (const view of views.values()) {
      const group = byService.get(view.row.service);
      if (group) group.push(view);
      else byService.set(view.row.service, [view]);
    }
  }

  function viewsOf(service: string): EndpointView[] {
    return byService.get(service) ?? [];
  }

  return {
    syncRows,
    report,
    unreachable,
    markLeaving,
    attemptStarted,
    prefillEnded,
    attemptEnded,
    candidates,
    serves: service => byService.has(service),
    rowsOf: service => viewsOf(service).map(view => view.row),
    get: name => views.get(name),
  };
}

function newView(row: EndpointRow): EndpointView {
  return {
    row,
    report: undefined,
    outstanding: 0,
    sentTokens: 0,
    pendingTokens: 0,
    prefillSeen: {work: 0, ms: 0},
    leavingIncarnation: undefined,
    blockedUntilMs: 0,
    consecutiveFailures: 0,
  };
}
