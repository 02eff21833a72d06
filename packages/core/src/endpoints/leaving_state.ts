import type {RouterContext} from '../router/router_context.js';
import type {EndpointReport} from '../router/events/endpoint_report.js';
import type {EndpointView} from './endpoint_view.js';

const UNKNOWN_INCARNATION = '';
/** A first report within this time is by the incarnation that is leaving. */
const FIRST_REPORT_LIMIT_MS = 5_000;
/** Incarnations kept per endpoint, in case notices arrive late. */
const MAX_INCARNATIONS = 4;

/** Tracks which incarnations of endpoints are leaving; final for each. */
export interface LeavingState {
  /** Marks the incarnation seen last; returns it if it was not marked yet. */
  mark(
    ctx: RouterContext,
    view: EndpointView,
    source: string,
  ): string | undefined;
  /** Applies a peer's notice; false if it was known. */
  applyNotice(
    ctx: RouterContext,
    view: EndpointView,
    incarnation: string,
  ): boolean;
  /** Updates the state from a new report; returns the same as `mark`. */
  reported(ctx: RouterContext, view: EndpointView): string | undefined;
  forget(endpoint: string): void;
}

/** Creates a state in which no endpoint is leaving. */
export function createLeavingState(): LeavingState {
  const known = new Map<string, string[]>();
  /** Incarnations that sent a report. */
  const seen = new Map<string, string[]>();
  const unidentifiedSinceMs = new Map<string, number>();

  const addKnown = (name: string, incarnation: string) =>
    addIncarnation(known, name, incarnation);

  function mark(
    ctx: RouterContext,
    view: EndpointView,
    source: string,
  ): string | undefined {
    const {name} = view.row;
    const incarnation = view.report?.incarnation;
    if (incarnation === undefined) {
      if (view.leavingIncarnation === undefined) {
        unidentifiedSinceMs.set(name, ctx.nowMs);
        setLeaving(ctx, view, UNKNOWN_INCARNATION, source);
      }
      return undefined;
    }
    if (!addKnown(name, incarnation)) return undefined;
    setLeaving(ctx, view, incarnation, source);
    return incarnation;
  }

  function applyNotice(
    ctx: RouterContext,
    view: EndpointView,
    incarnation: string,
  ): boolean {
    if (!addKnown(view.row.name, incarnation)) return false;
    const current = view.report?.incarnation;
    const earlier = seen.get(view.row.name)?.includes(incarnation) ?? false;
    // An unseen incarnation may be the newest one; the next report decides.
    if (current === incarnation || !earlier) {
      setLeaving(ctx, view, incarnation, 'peer');
    }
    return true;
  }

  function reported(
    ctx: RouterContext,
    view: EndpointView,
  ): string | undefined {
    const {name} = view.row;
    const {leaving, incarnation} = view.report as EndpointReport;
    const unidentifiedMs =
      ctx.nowMs - (unidentifiedSinceMs.get(name) ?? -Infinity);
    unidentifiedSinceMs.delete(name);
    addIncarnation(seen, name, incarnation);
    if (leaving) return mark(ctx, view, 'report');
    if (unidentifiedMs <= FIRST_REPORT_LIMIT_MS) {
      return mark(ctx, view, 'response');
    }
    const isLeaving = known.get(name)?.includes(incarnation) ?? false;
    view.leavingIncarnation = isLeaving ? incarnation : undefined;
    return undefined;
  }

  return {
    mark,
    applyNotice,
    reported,
    forget: endpoint => {
      known.delete(endpoint);
      seen.delete(endpoint);
      unidentifiedSinceMs.delete(endpoint);
    },
  };
}

/** Adds an incarnation of an endpoint; returns whether it is new. */
function addIncarnation(
  incarnations: Map<string, string[]>,
  endpoint: string,
  incarnation: string,
): boolean {
  const list = incarnations.get(endpoint) ?? [];
  if (list.includes(incarnation)) return false;
  incarnations.set(endpoint, [...list, incarnation].slice(-MAX_INCARNATIONS));
  return true;
}

function setLeaving(
  ctx: RouterContext,
  view: EndpointView,
  incarnation: string,
  source: string,
): void {
  view.leavingIncarnation = incarnation;
  ctx.emit({
    kind: 'write_log',
    event: 'WL5001',
    fields: {endpoint: view.row.name, state: 'leaving', source},
  });
}
