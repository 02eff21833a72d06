import type {HintHandler} from '../endpoint_hints/hint_handler.js';
import type {EndpointHealth} from '../endpoint_health/endpoint_health.js';
import type {FleetGossip} from '../fleet/fleet_gossip.js';
import type {AnswerReceived} from '../gateway/events/answer_received.js';
import type {AttemptFailed} from '../gateway/events/attempt_failed.js';
import type {HintsReceived} from '../gateway/events/hints_received.js';
import type {PieceReceived} from '../gateway/events/piece_received.js';
import type {StreamEnded} from '../gateway/events/stream_ended.js';
import type {StreamStarted} from '../gateway/events/stream_started.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import {PROOF_PIECES} from '../quarantine/proof_of_answer.js';
import type {Quarantine} from '../quarantine/quarantine.js';
import type {MemoryReservations} from '../tickets/memory_reservations.js';
import type {AttemptFailures} from './attempt_failures.js';
import type {CurrentAttempt} from './current_attempt.js';
import type {Dispatcher} from './dispatcher.js';
import type {ForwardedRequest} from './forwarded_request.js';
import {recordPieceTiming} from './record_piece_timing.js';
import type {WorkObserver} from './work_observer.js';
import type {RequestEnd} from './request_end.js';

const SERVER_ERROR_STATUS = 500;
/** Pieces of a stream per observation of its engine's slowdown. */
const PIECES_PER_SLOWDOWN = 6;

/** Dependencies of the handlers of answers. */
export interface AttemptAnswerParts {
  requests: Map<string, ForwardedRequest>;
  health: EndpointHealth;
  hints: HintHandler;
  gossip: FleetGossip;
  reservations: Pick<MemoryReservations, 'release'>;
  quarantine: Pick<Quarantine, 'answered' | 'withdrawn'>;
  /** Learns the cost of requests from their answers. */
  observer: WorkObserver;
  end: RequestEnd;
  dispatcher: Dispatcher;
  failures: AttemptFailures;
  /** Id of an endpoint by its id or address; undefined if unknown. */
  findEndpointId(name: string): string | undefined;
}

/** Creates the handlers of what endpoints answer to running attempts. */
export function createAttemptAnswers(
  parts: AttemptAnswerParts,
): Pick<GatewayFeature, 'handlers'> {
  const {requests, health, gossip, reservations, end, dispatcher, failures} =
    parts;

  function currentOf(
    reqId: string,
    attempt: number,
  ): {req: ForwardedRequest; current: CurrentAttempt} | undefined {
    const req = requests.get(reqId);
    if (!req?.current || req.current.attempt !== attempt) return undefined;
    return {req, current: req.current};
  }

  function hintsReceived(ctx: GatewayContext, event: HintsReceived): void {
    const found = currentOf(event.reqId, event.attempt);
    if (!found) return;
    found.current.headMs ??= ctx.nowMs;
    parts.hints.apply(ctx, found.current.choice.main, event.hints);
  }

  function streamStarted(ctx: GatewayContext, event: StreamStarted): void {
    const found = currentOf(event.reqId, event.attempt);
    if (found) found.current.headMs ??= ctx.nowMs;
  }

  function piece(ctx: GatewayContext, event: PieceReceived): void {
    const found = currentOf(event.reqId, event.attempt);
    if (!found) return;
    const {req, current} = found;
    // Repetitions are no progress: a stalled endpoint may send them for ever.
    if (event.piece <= req.lastPiece) return;
    const {lastProgressMs} = current;
    current.lastProgressMs = ctx.nowMs;
    if (event.piece !== req.lastPiece + 1) {
      ctx.emit({
        kind: 'cancel_attempt',
        reqId: req.reqId,
        attempt: event.attempt,
      });
      const detail = 'piece missing';
      return failures.attemptFailed(ctx, req, current, 'broken', detail);
    }
    if (current.pieces === 0) firstPiece(ctx, current);
    else recordGap(current, ctx.nowMs - lastProgressMs);
    current.pieces += 1;
    if (current.pieces === PROOF_PIECES) survived(ctx, req);
    req.lastPiece = event.piece;
    recordPieceTiming(req, ctx.nowMs);
    beginStream(ctx, req, event.attempt);
    ctx.emit({kind: 'deliver_piece', reqId: req.reqId, payload: event.payload});
  }

  function survived(ctx: GatewayContext, req: ForwardedRequest): void {
    req.survived = true;
    parts.quarantine.answered(ctx, req.suspect);
  }

  function firstPiece(ctx: GatewayContext, current: CurrentAttempt): void {
    gossip.decodingStarted(current.work);
    health.recordSuccess(current.choice.main.id, ctx.nowMs);
  }

  /**
   * Takes the shortest of a few gaps: a healthy engine soon runs at least one
   * pass without prefill.
   */
  function recordGap(current: CurrentAttempt, gapMs: number): void {
    current.shortestGapMs = Math.min(current.shortestGapMs, gapMs);
    if (current.pieces % PIECES_PER_SLOWDOWN !== 0) return;
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
    if (event.delimited) {
      survived(ctx, req);
      parts.observer.streamEnded(req);
    }
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
      failures.tryTakeRetry(ctx, req, 'broken')
    ) {
      gossip.workEnded(current.work);
      reservations.release(ctx, req.reqId);
      parts.quarantine.withdrawn(ctx, req.reqId);
      req.current = undefined;
      req.failedEndpoints.add(current.choice.main.id);
      return dispatcher.dispatch(ctx, req);
    }
    if (event.status < SERVER_ERROR_STATUS) {
      health.recordSuccess(current.choice.main.id, ctx.nowMs);
      survived(ctx, req);
      parts.observer.callEnded(req, current, ctx.nowMs);
    }
    // A whole answer cannot go on behind the pieces of another one.
    if (req.streamStarted) return end.fail(ctx, req, 'broken');
    const {reqId, attempt} = event;
    ctx.emit({kind: 'deliver_answer', reqId, attempt});
    end.finish(ctx, req, 'completed', `status ${event.status}`);
  }

  function failed(ctx: GatewayContext, event: AttemptFailed): void {
    const found = currentOf(event.reqId, event.attempt);
    if (!found) return;
    const {req, current} = found;
    const failedId = parts.findEndpointId(event.atFault);
    if (failedId !== undefined && failedId !== current.choice.main.id) {
      req.failedEndpoints.add(failedId);
      failures.endpointUnreachable(ctx, failedId, 'named by another endpoint');
    }
    const {failure, detail, evidence} = event;
    failures.attemptFailed(ctx, req, current, failure, detail, evidence);
  }

  return {
    handlers: {
      hints_received: hintsReceived,
      stream_started: streamStarted,
      piece_received: piece,
      stream_ended: streamEnded,
      answer_received: answered,
      attempt_failed: failed,
    },
  };
}
