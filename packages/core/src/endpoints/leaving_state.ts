import type {RouterContext} from '../router/router_context.js';
import type {EndpointReport} from '../router/events/endpoint_report.js';
import type {EndpointView} from './endpoint_view.js';

const UNKNOWN_INCARNATION = '';
/** A first report within this time is by the process that was leaving. */
const BIND_MS = 5_000;
/** Starts remembered for each endpoint, in case notices arrive late. */
const INCARNATIONS_KEPT = 4;

/** Which starts of endpoints are leaving; this is final for a start. */
export interface LeavingState {
  /** Marks the start seen last; answers its incarnation if that is news. */
  mark(
    ctx: RouterContext,
    view: EndpointView,
    source: string,
  ): string | undefined;
  /** Takes over what a peer knows; false if it was known. */
  applyNotice(
    ctx: RouterContext,
    view: EndpointView,
    incarnation: string,
  ): boolean;
  /** Like `mark`, for an endpoint whose report was just read. */
  reported(ctx: RouterContext, view: EndpointView): string | undefined;
  forget(endpoint: string): void;
}

/** Creates a state in which no endpoint is leaving. */
export function createLeavingState(): LeavingState {
  const known = new Map<string, string[]>();
  /** Starts that sent a report. */
  const seen = new Map<string, string[]>();
  const unboundSinceMs = new Map<string, number>();

  const add = (name: string, start: string) => addStart(known, name, start);

  function mark(
    ctx: RouterContext,
    view: EndpointView,
    source: string,
  ): string | undefined {
    const {name} = view.row;
    const incarnation = view.report?.incarnation;
    if (incarnation === undefined) {
      if (view.leavingIncarnation === undefined) {
        unboundSinceMs.set(name, ctx.nowMs);
        setLeaving(ctx, view, UNKNOWN_INCARNATION, source);
      }
      return undefined;
    }
    if (!add(name, incarnation)) return undefined;
    setLeaving(ctx, view, incarnation, source);
    return incarnation;
  }

  function applyNotice(
    ctx: RouterContext,
    view: EndpointView,
    incarnation: string,
  ): boolean {
    if (!add(view.row.name, incarnation)) return false;
    const current = view.report?.incarnation;
    const earlier = seen.get(view.row.name)?.includes(incarnation) ?? false;
    // A start not seen yet may be the newest one; the next report decides.
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
    const unboundMs = ctx.nowMs - (unboundSinceMs.get(name) ?? -Infinity);
    unboundSinceMs.delete(name);
    addStart(seen, name, incarnation);
    if (leaving) return mark(ctx, view, 'report');
    if (unboundMs <= BIND_MS) return mark(ctx, view, 'response');
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
      unboundSinceMs.delete(endpoint);
    },
  };
}

/** Answers whether the start is new to the list of its endpoint. */
function addStart(
  starts: Map<string, string[]>,
  endpoint: string,
  incarnation: string,
): boolean {
  const list = starts.get(endpoint) ?? [];
  if (list.includes(incarnation)) return false;
  starts.set(endpoint, [...list, incarnation].slice(-INCARNATIONS_KEPT));
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
