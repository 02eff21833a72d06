import type {EndpointHealth} from '../endpoint_health/endpoint_health.js';
import type {FleetGossip} from '../fleet/fleet_gossip.js';
import type {AnswerReceived} from '../gateway/events/answer_received.js';
import type {AttemptFailed} from '../gateway/events/attempt_failed.js';
import type {PieceReceived} from '../gateway/events/piece_received.js';
import type {StreamEnded} from '../gateway/events/stream_ended.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import type {MemoryReservations} from '../tickets/memory_reservations.js';
import type {AttemptFailures} from './attempt_failures.js';
import type {CurrentAttempt} from './current_attempt.js';
import type {Dispatcher} from './dispatcher.js';
import type {ForwardedRequest} from './forwarded_request.js';
import {recordPieceTiming} from './record_piece_timing.js';
import type {RequestEnd} from './request_end.js';

const SERVER_ERROR_STATUS = 500;
/** Pieces of a stream from which the pace of an engine is taken. */
const PIECES_PER_PACE = 6;

/** What the answers of endpoints work on. */
export interface AttemptAnswerParts {
  requests: Map<string, ForwardedRequest>;
  health: EndpointHealth;
  gossip: FleetGossip;
  tickets: Pick<MemoryReservations, 'release'>;
  end: RequestEnd;
  dispatcher: Dispatcher;
  failures: AttemptFailures;
  /** Id of an endpoint by its id or address; undefined if unknown. */
  findEndpointId(name: string): string | undefined;
}

/** Passes on what endpoints answer to the attempts that run. */
export function createAttemptAnswers(
  parts: AttemptAnswerParts,
): Pick<GatewayFeature, 'handlers'> {
  const {requests, health, gossip, tickets, end, dispatcher, failures} = parts;

  function currentOf(
    reqId: string,
    attempt: number,
  ): {req: ForwardedRequest; current: CurrentAttempt} | undefined {
    const req = requests.get(reqId);
    if (!req?.current || req.current.attempt !== attempt) return undefined;
    return {req, current: req.current};
  }

  function piece(ctx: GatewayContext, event: PieceReceived): void {
    const found = currentOf(event.reqId, event.attempt);
    if (!found) return;
    const {req, current} = found;
    const {progressMs} = current;
    current.progressMs = ctx.nowMs;
    if (event.piece <= req.lastPiece) return;
    if (event.piece !== req.lastPiece + 1) {
      ctx.emit({
        kind: 'cancel_attempt',
        reqId: req.reqId,
        attempt: event.attempt,
      });
      return failures.attemptFailed(
        ctx,
        req,
        current,
        'broken',
        'piece missing',
      );
    }
    if (current.pieces === 0) firstPiece(ctx, current);
    else notePause(current, ctx.nowMs - progressMs);
    current.pieces += 1;
    req.lastPiece = event.piece;
    recordPieceTiming(req, ctx.nowMs);
    beginStream(ctx, req, event.attempt);
    ctx.emit({kind: 'deliver_piece', reqId: req.reqId, payload: event.payload});
  }

  function firstPiece(ctx: GatewayContext, current: CurrentAttempt): void {
    gossip.decodingStarted(current.work);
    health.recordSuccess(current.choice.main.id, ctx.nowMs);
  }

  /** A sound engine has at least one pass without reading before long. */
  function notePause(current: CurrentAttempt, pauseMs: number): void {
    current.shortestGapMs = Math.min(current.shortestGapMs, pauseMs);
    if (current.pieces % PIECES_PER_PACE !== 0) return;
    const {main, baselineGapMs} = current.choice;
    health.observeGap(main.id, current.shortestGapMs, baselineGapMs);
    current.shortestGapMs = Number.POSITIVE_INFINITY;
  }

  function beginStream(
    ctx: GatewayContext,
    req: ForwardedRequest,
    attempt: number,
  ): void {
    if (req.streamStarted) return;
    req.streamStarted = true;
    ctx.emit({kind: 'begin_stream', reqId: req.reqId, attempt});
    const firstMs = Math.round(ctx.nowMs - req.arrivedMs);
    ctx.emit({
      kind: 'observe',
      metric: 'first_piece_ms',
      labels: {service: req.service},
      value: firstMs,
    });
  }

  function streamEnded(ctx: GatewayContext, event: StreamEnded): void {
    const found = currentOf(event.reqId, event.attempt);
    if (!found) return;
    const {req, current} = found;
    health.recordSuccess(current.choice.main.id, ctx.nowMs);
    beginStream(ctx, req, event.attempt);
    ctx.emit({kind: 'end_stream', reqId: req.reqId});
    end.finish(ctx, req, 'completed', '');
  }

  function answered(ctx: GatewayContext, event: AnswerReceived): void {
    const found = currentOf(event.reqId, event.attempt);
    if (!found) return;
    const {req, current} = found;
    if (
      event.status >= SERVER_ERROR_STATUS &&
      failures.mayRepeat(ctx, req, 'broken')
    ) {
      gossip.workEnded(current.work);
      tickets.release(ctx, req.reqId);
      req.current = undefined;
      req.failedEndpoints.add(current.choice.main.id);
      return dispatcher.dispatch(ctx, req);
    }
    if (event.status < SERVER_ERROR_STATUS) {
      health.recordSuccess(current.choice.main.id, ctx.nowMs);
    }
    const {reqId, attempt} = event;
    ctx.emit({kind: 'deliver_answer', reqId, attempt});
    end.finish(ctx, req, 'completed', `status ${event.status}`);
  }

  function failed(ctx: GatewayContext, event: AttemptFailed): void {
    const found = currentOf(event.reqId, event.attempt);
    if (!found) return;
    const {req, current} = found;
    const other = parts.findEndpointId(event.atFault);
    if (other !== undefined && other !== current.choice.main.id) {
      req.failedEndpoints.add(other);
      health.recordFailure(ctx, other, 'named by another endpoint');
    }
    failures.attemptFailed(ctx, req, current, event.failure, event.detail);
  }

  return {
    handlers: {
      piece_received: piece,
      stream_ended: streamEnded,
      answer_received: answered,
      attempt_failed: failed,
    },
  };
}
