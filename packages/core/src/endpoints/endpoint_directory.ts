import type {EndpointReport} from '../router/events/endpoint_report.js';
import type {EndpointNotice} from '../router/messages/endpoint_notice.js';
import type {RouterContext} from '../router/router_context.js';
import type {EndpointRow} from '../types/endpoint_row.js';
import type {EndpointView} from './endpoint_view.js';

/** The endpoints of the table and the known state of each. */
export interface EndpointDirectory {
  /** Applies the rows of the table as read up to `tableNext`. */
  syncRows(ctx: RouterContext, rows: EndpointRow[], tableNext?: number): void;
  report(ctx: RouterContext, report: EndpointReport): void;
  unreachable(ctx: RouterContext, name: string): void;
  /** Stops new work to the newest known incarnation of the endpoint. */
  markLeaving(ctx: RouterContext, name: string, source: string): void;
  /** Applies a peer's notice; returns whether it was new. */
  applyNotice(ctx: RouterContext, notice: EndpointNotice): boolean;
  /** Sets the prompt tokens sent by other routers since the last report. */
  setPeerSent(name: string, tokens: number): void;
  attemptStarted(name: string, promptTokens: number): void;
  /** The prefill of an attempt is over: it has its first token or ended. */
  prefillEnded(name: string, promptTokens: number): void;
  attemptEnded(ctx: RouterContext, name: string, ok: boolean): void;
  /** Endpoints of a service that may take new work now. */
  candidates(service: string, nowMs: number): EndpointView[];
  /** Whether any endpoint of the table serves the service. */
  serves(service: string): boolean;
  /** Rows of all endpoints of a service. */
  rowsOf(service: string): EndpointRow[];
  get(name: string): EndpointView | undefined;
  all(): Iterable<EndpointView>;
}
