import type {EndpointDirectory} from '../endpoints/endpoint_directory.js';
import type {EndpointView} from '../endpoints/endpoint_view.js';
import type {RequestState} from '../requests/request_state.js';
import type {ReservationSettled} from '../router/events/reservation_settled.js';
import type {RouterContext} from '../router/router_context.js';
import type {RouteChoice} from '../routing/route_choice.js';
import {kvTokens} from './kv_need.js';
import {createPendingReservations} from './pending_reservations.js';
import {planReservation} from './reservation_plan.js';
import type {ReservationRound} from './reservation_round.js';

/** An answer that takes longer counts as a refusal. */
const ANSWER_TIMEOUT_MS = 1_000;
/** Time beyond the request's timeout after which the engine frees memory. */
const TTL_MARGIN_MS = 1_000;

/** Reservations of KV memory for prompts larger than one engine. */
export interface Reservations {
  /** Starts a round; false if too little memory is known to be free. */
  begin(
    ctx: RouterContext,
    state: RequestState,
    choice: RouteChoice,
    candidates: EndpointView[],
  ): boolean;
  settled(ctx: RouterContext, event: ReservationSettled): void;
  /** Fails rounds whose answer is overdue. */
  expire(ctx: RouterContext): void;
  /** Releases the request's memory when its attempt or the request ends. */
  release(ctx: RouterContext, reqId: string): void;
}

/** Dependencies of the reservations. */
export interface ReservationParts {
  endpoints: EndpointDirectory;
  /** All memory is reserved; the attempt may start. */
  ready(
    ctx: RouterContext,
    reqId: string,
    choice: RouteChoice,
    candidates: number,
  ): void;
  /** A round failed and all its memory was released; retry later. */
  refused(ctx: RouterContext, reqId: string): void;
}

/** Creates reservations without any round. */
export function createReservations(parts: ReservationParts): Reservations {
  const {endpoints} = parts;
  const rounds = new Map<string, ReservationRound>();
  const pending = createPendingReservations();
  let roundCount = 0;

  function begin(
    ctx: RouterContext,
    state: RequestState,
    choice: RouteChoice,
    candidates: EndpointView[],
  ): boolean {
    const {reqId, deadlineMs} = state.entry;
    const tokens = kvTokens(state);
    const plan = planReservation(tokens, choice.endpoint, candidates);
    if (!plan) return false;
    release(ctx, reqId);
    roundCount += 1;
    const round: ReservationRound = {
      reqId,
      round: roundCount,
      choice,
      candidates: candidates.length,
      deadlineMs,
      plan,
      held: [],
      answerDueMs: Infinity,
    };
    rounds.set(reqId, round);
    requestNext(ctx, round);
    return true;
  }

  function requestNext(ctx: RouterContext, round: ReservationRound): void {
    const next = round.plan[round.held.length]!;
    const ttlMs = Math.max(0, round.deadlineMs - ctx.nowMs) + TTL_MARGIN_MS;
    round.answerDueMs = ctx.nowMs + ANSWER_TIMEOUT_MS;
    pending.add(round.round, next.endpoint, next.url, ctx.nowMs + ttlMs);
    ctx.emit({
      kind: 'reserve',
      reqId: round.reqId,
      attempt: round.round,
      ...next,
      ttlMs,
    });
  }

  function settled(ctx: RouterContext, event: ReservationSettled): void {
    const url = pending.take(event.attempt, event.endpoint);
    const round = rounds.get(event.reqId);
    const awaited = round?.plan[round.held.length];
    const expected =
      round?.round === event.attempt && awaited?.endpoint === event.endpoint;
    if (!round || !awaited || !expected) {
      if (event.granted && !isHeld(round, event)) releaseLate(ctx, event, url);
      return;
    }
    round.answerDueMs = Infinity;
    if (!event.granted) return fail(ctx, round, 'refused');
    const {sessionId} = event;
    round.held.push({...awaited, sessionId});
    if (!allAcceptWork(ctx, round)) return fail(ctx, round, 'unavailable');
    if (round.held.length < round.plan.length) return requestNext(ctx, round);
    const {choice, held, candidates} = round;
    const reason = `${choice.reason}, ${held.length} engines reserved`;
    const reservations = [...held];
    const reservedChoice = {...choice, reason, reservations};
    parts.ready(ctx, round.reqId, reservedChoice, candidates);
  }

  /** Whether the event repeats an answer whose session the round holds. */
  function isHeld(
    round: ReservationRound | undefined,
    event: ReservationSettled,
  ): boolean {
    return (
      round?.held.some(
        held =>
          held.endpoint === event.endpoint &&
          held.sessionId === event.sessionId,
      ) ?? false
    );
  }

  function releaseLate(
    ctx: RouterContext,
    event: ReservationSettled,
    requestedUrl: string | undefined,
  ): void {
    const {endpoint, sessionId} = event;
    const url = requestedUrl ?? endpoints.get(endpoint)?.row.url;
    if (url === undefined) return;
    ctx.emit({kind: 'release_session', endpoint, url, sessionId});
  }

  function allAcceptWork(ctx: RouterContext, round: ReservationRound): boolean {
    const {service} = round.choice.endpoint.row;
    const accepting = new Set(
      endpoints.candidates(service, ctx.nowMs).map(view => view.row.name),
    );
    return round.plan.every(({endpoint}) => accepting.has(endpoint));
  }

  function fail(
    ctx: RouterContext,
    round: ReservationRound,
    reason: string,
  ): void {
    const {reqId, plan, held} = round;
    const endpoint = plan[held.length]?.endpoint ?? '';
    ctx.emit({
      kind: 'write_log',
      event: 'WL1005',
      fields: {reqId, endpoint, engines: plan.length, reason},
    });
    release(ctx, reqId);
    parts.refused(ctx, reqId);
  }

  function expire(ctx: RouterContext): void {
    pending.expire(ctx.nowMs);
    for (const round of [...rounds.values()]) {
      if (ctx.nowMs >= round.answerDueMs) fail(ctx, round, 'no answer');
    }
  }

  function release(ctx: RouterContext, reqId: string): void {
    const round = rounds.get(reqId);
    if (!round) return;
    rounds.delete(reqId);
    for (const {endpoint, url, sessionId} of round.held) {
      ctx.emit({kind: 'release_session', endpoint, url, sessionId});
    }
  }

  return {begin, settled, expire, release};
}
