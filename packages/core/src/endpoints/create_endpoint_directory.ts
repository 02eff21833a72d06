import type {EndpointReport} from '../router/events/endpoint_report.js';
import type {RouterContext} from '../router/router_context.js';
import type {EndpointNotice} from '../router/messages/endpoint_notice.js';
import type {EndpointRow} from '../types/endpoint_row.js';
import {countFailure} from './circuit_breaker.js';
import {createEndpointView} from './create_endpoint_view.js';
import type {EndpointDirectory} from './endpoint_directory.js';
import type {EndpointListener} from './endpoint_listener.js';
import type {EndpointNoticeState} from './endpoint_notice_state.js';
import type {EndpointView} from './endpoint_view.js';
import {createLeavingState} from './leaving_state.js';
import {createPeerExclusions} from './peer_exclusions.js';

const NO_LISTENER: EndpointListener = {
  changed: () => undefined,
  reported: () => undefined,
  sent: () => undefined,
};

/** Creates an empty directory. */
export function createEndpointDirectory(
  listener: EndpointListener = NO_LISTENER,
): EndpointDirectory {
  const views = new Map<string, EndpointView>();
  const leaving = createLeavingState();
  const exclusions = createPeerExclusions();
  const byService = new Map<string, EndpointView[]>();

  function syncRows(
    ctx: RouterContext,
    rows: EndpointRow[],
    tableNext = 0,
  ): void {
    const byName = new Map(rows.map(row => [row.name, row]));
    for (const {row} of [...views.values()]) {
      const now = byName.get(row.name);
      if (row.desired === 'serving' && now?.desired !== 'serving') {
        notify(ctx, row.name, 'withdrawn', '', tableNext);
      }
      if (!now) {
        views.delete(row.name);
        leaving.forget(row.name);
      }
    }
    for (const row of rows) {
      const view = views.get(row.name);
      if (view) view.row = row;
      else views.set(row.name, createEndpointView(row));
    }
    exclusions.tableRead(tableNext);
    groupByService();
    ctx.emit({
      kind: 'watch_endpoints',
      endpoints: rows
        .filter(row => row.desired !== 'stopped')
        .map(row => ({name: row.name, url: row.url})),
    });
  }

  function report(ctx: RouterContext, report: EndpointReport): void {
    const name = report.endpoint;
    const view = views.get(name);
    if (!view) return;
    view.report = report;
    view.sentTokens = 0;
    exclusions.reported(ctx, name);
    listener.reported(ctx, name);
    const incarnation = leaving.reported(ctx, view);
    if (incarnation !== undefined) notify(ctx, name, 'leaving', incarnation);
  }

  function unreachable(ctx: RouterContext, name: string): void {
    const view = views.get(name);
    if (view) recordFailure(ctx, view);
  }

  function markLeaving(ctx: RouterContext, name: string, source: string): void {
    const view = views.get(name);
    const incarnation = view && leaving.mark(ctx, view, source);
    if (incarnation !== undefined) notify(ctx, name, 'leaving', incarnation);
  }

  function notify(
    ctx: RouterContext,
    endpoint: string,
    state: EndpointNoticeState,
    incarnation: string,
    tableNext = 0,
  ): void {
    listener.changed(ctx, {endpoint, incarnation, state, tableNext});
  }

  function applyNotice(ctx: RouterContext, notice: EndpointNotice): boolean {
    const {endpoint, incarnation} = notice;
    const view = views.get(endpoint);
    if (!view) return false;
    switch (notice.state) {
      case 'leaving':
        return leaving.applyNotice(ctx, view, incarnation);
      case 'failed':
        if ((view.report?.incarnation ?? incarnation) === incarnation) {
          exclusions.failed(ctx, endpoint);
        }
        return true;
      case 'withdrawn':
        return exclusions.withdrawn(endpoint, notice.stamp);
    }
  }

  function attemptStarted(name: string, promptTokens: number): void {
    const view = views.get(name);
    if (!view) return;
    view.outstanding += 1;
    view.sentTokens += promptTokens;
    listener.sent(name, promptTokens);
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
    else recordFailure(ctx, view);
  }

  function recordFailure(ctx: RouterContext, view: EndpointView): void {
    if (!countFailure(ctx, view)) return;
    const blocked = [...views.values()].filter(
      other => other.blockedUntilMs > ctx.nowMs,
    );
    const {report} = view;
    // If most endpoints fail, the fault is likely on this router's side.
    if (!report || blocked.length * 2 > Math.max(2, views.size)) return;
    notify(ctx, report.endpoint, 'failed', report.incarnation);
  }

  function setPeerSent(name: string, tokens: number): void {
    const view = views.get(name);
    if (view) view.peerSentTokens = tokens;
  }

  function candidates(service: string, nowMs: number): EndpointView[] {
    return viewsOf(service).filter(
      view =>
        view.row.desired === 'serving' &&
        view.leavingIncarnation === undefined &&
        view.blockedUntilMs <= nowMs &&
        !exclusions.blocks(view.row.name, nowMs),
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
    applyNotice,
    setPeerSent,
    attemptStarted,
    prefillEnded,
    attemptEnded,
    candidates,
    serves: service => byService.has(service),
    rowsOf: service => viewsOf(service).map(view => view.row),
    get: name => views.get(name),
    all: () => views.values(),
  };
}
