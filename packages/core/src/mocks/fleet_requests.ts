import type {GatewayAction} from '../gateway/actions/gateway_action.js';
import type {RequestArrived} from '../gateway/events/request_arrived.js';
import type {FleetRequest} from './fleet_request.js';

/** What callers of a fleet saw of their requests. */
export interface FleetRequests {
  readonly all: FleetRequest[];
  add(gateway: string, event: RequestArrived): FleetRequest;
  of(gateway: string, reqId: string): FleetRequest | undefined;
  /** Records what a gateway sends to the caller of a request. */
  answered(gateway: string, action: GatewayAction): void;
  /** The process that held the connections of these callers ended. */
  lost(gateway: string): void;
}

/** Creates the record of a fleet without requests. */
export function createFleetRequests(nowMs: () => number): FleetRequests {
  const all: FleetRequest[] = [];
  const byKey = new Map<string, FleetRequest>();

  function add(gateway: string, event: RequestArrived): FleetRequest {
    const req: FleetRequest = {
      reqId: event.reqId,
      gateway,
      arrivedMs: nowMs(),
      parts: event.sharedParts,
      digest: event.digest(),
      attempts: 0,
      begunBy: undefined,
      refusal: undefined,
      retryAfterMs: undefined,
      endedMs: undefined,
      lastPieceMs: undefined,
      firstPieceMs: undefined,
      longestGapMs: 0,
      complete: false,
    };
    all.push(req);
    byKey.set(`${gateway}/${req.reqId}`, req);
    return req;
  }

  function ended(req: FleetRequest | undefined): void {
    if (req) req.endedMs ??= nowMs();
  }

  function delivered(req: FleetRequest): void {
    const atMs = nowMs();
    if (req.lastPieceMs === undefined) req.firstPieceMs = atMs - req.arrivedMs;
    else req.longestGapMs = Math.max(req.longestGapMs, atMs - req.lastPieceMs);
    req.lastPieceMs = atMs;
  }

  function answered(gateway: string, action: GatewayAction): void {
    if (!('reqId' in action)) return;
    const req = byKey.get(`${gateway}/${action.reqId}`);
    if (!req) return;
    switch (action.kind) {
      case 'begin_stream':
        req.begunBy ??= action.attempt;
        return;
      case 'deliver_piece':
        return delivered(req);
      case 'deliver_answer':
      case 'end_stream':
        req.complete = true;
        return ended(req);
      case 'break_stream':
        return ended(req);
      case 'refuse':
        req.refusal = action.refusal;
        req.retryAfterMs = action.retryAfterMs;
        return ended(req);
      default:
        return;
    }
  }

  return {
    all,
    answered,
    add,
    of: (gateway, reqId) => byKey.get(`${gateway}/${reqId}`),
    lost: gateway => {
      for (const req of all) if (req.gateway === gateway) ended(req);
    },
  };
}
