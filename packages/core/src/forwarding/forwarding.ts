import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {EndpointPauses} from '../endpoint_hints/endpoint_pauses.js';
import type {HintHandler} from '../endpoint_hints/hint_handler.js';
import type {EndpointHealth} from '../endpoint_health/endpoint_health.js';
import type {FleetGossip} from '../fleet/fleet_gossip.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {CallerLeft} from '../gateway/events/caller_left.js';
import type {RequestArrived} from '../gateway/events/request_arrived.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import {reportPartsLeftOut} from '../quarantine/report_quarantine.js';
import type {Quarantine} from '../quarantine/quarantine.js';
import type {EndpointRegistry} from '../registry/endpoint_registry.js';
import type {EndpointSelection} from '../spread/endpoint_selection.js';
import {createMemoryReservations} from '../tickets/memory_reservations.js';
import type {WorkModel} from '../work_model/work_model.js';
import {admitRequest} from './admission.js';
import {createAttemptAnswers} from './attempt_answers.js';
import {createAttemptFailures} from './attempt_failures.js';
import {createCustomerShares} from './customer_shares.js';
import {createDispatcher} from './dispatcher.js';
import {createEarlyRequests} from './early_requests.js';
import type {ForwardedRequest} from './forwarded_request.js';
import type {Refusal} from './refusal.js';
import {createLostEngines} from './lost_engines.js';
import {refuse, reportUnadmitted} from './report_end.js';
import {createRequestEnd} from './request_end.js';
import {createWorkObserver} from './work_observer.js';
import type {RetryBudget} from './retry_budget.js';
import {RETRY_AFTER_MS} from './retry_after.js';
import {createWaitingRequests} from './waiting_requests.js';

/** Handles requests from their arrival to their final answer. */
export interface Forwarding extends GatewayFeature {
  inFlight(): number;
  /** Refuses requests with quarantined causes, unless they are answered. */
  refuseQuarantined(ctx: GatewayContext): void;
  /** Aborts everything that is in flight. */
  abortAll(ctx: GatewayContext): void;
}

/** Dependencies of the forwarding. */
export interface ForwardingParts {
  configuration: PublishedConfiguration;
  selection: EndpointSelection;
  health: EndpointHealth;
  members: FleetMembers;
  hints: HintHandler;
  pauses: EndpointPauses;
  gossip: FleetGossip;
  quarantine: Quarantine;
  retryBudget: RetryBudget;
  registry: Pick<EndpointRegistry, 'get'>;
  model: WorkModel;
  /** Id of an endpoint by its id or address; undefined if unknown. */
  findEndpointId(name: string): string | undefined;
  /** Whether an endpoint is expected to end. */
  isLeaving(endpoint: string): boolean;
  /** Why requests are refused now; undefined if they are accepted. */
  refusalReason(): Refusal | undefined;
  /** Peer address of this gateway. */
  self: string;
  incarnation: number;
}

/** Creates the forwarding without requests in flight. */
export function createForwarding(parts: ForwardingParts): Forwarding {
  const {configuration, health, members, quarantine, retryBudget} = parts;
  const requests = new Map<string, ForwardedRequest>();
  const early = createEarlyRequests();
  const reservations = createMemoryReservations({
    self: parts.self,
    incarnation: parts.incarnation,
    isPaused: parts.pauses.isPaused,
    peers: members.aliveAddresses,
    onHints: parts.hints.apply,
    onReserved: (ctx, reqId, reservation) =>
      dispatcher.onMemoryReserved(ctx, reqId, reservation),
    onRefused: (ctx, reqId, engine) =>
      dispatcher.onMemoryRefused(ctx, reqId, engine),
  });
  const lostEngines = createLostEngines(parts);
  const waiting = createWaitingRequests();
  const shared = {...parts, requests, waiting, reservations, lostEngines};
  const end = createRequestEnd(shared);
  const shares = createCustomerShares();
  const dispatcher = createDispatcher({...shared, end, shares});
  const failures = createAttemptFailures({...shared, end, dispatcher});
  const observer = createWorkObserver(parts);
  const answers = createAttemptAnswers({
    ...shared,
    end,
    dispatcher,
    failures,
    observer,
  });

  function arrived(ctx: GatewayContext, event: RequestArrived): void {
    const {nowMs} = ctx;
    if (parts.refusalReason() === 'not_ready')
      early.add({event, arrivedMs: nowMs});
    else admit(ctx, event, nowMs);
  }

  function admit(
    ctx: GatewayContext,
    event: RequestArrived,
    arrivedMs: number,
  ): void {
    const refusal = parts.refusalReason();
    if (refusal) return refuse(ctx, event.reqId, refusal, RETRY_AFTER_MS);
    const {nowMs, random} = ctx;
    const admitted = admitRequest(
      configuration,
      event,
      arrivedMs,
      random,
      parts.model,
    );
    if (!admitted.ok) return refuse(ctx, event.reqId, admitted.val, undefined);
    const req = admitted.val;
    if (event.partsLeftOut > 0) reportPartsLeftOut(ctx, event);
    requests.set(req.reqId, req);
    retryBudget.recordRequest(nowMs, req.service);
    shares.add(nowMs, req.customer?.name ?? '');
    dispatcher.dispatch(ctx, req);
  }

  function callerLeft(ctx: GatewayContext, event: CallerLeft): void {
    const req = requests.get(event.reqId);
    if (req) {
      end.cancel(ctx, req);
      end.finish(ctx, req, 'caller_left', '');
    } else if (early.remove(event.reqId)) {
      reportUnadmitted(ctx, event.reqId, 'caller_left', '');
    }
  }

  function expire(ctx: GatewayContext): void {
    const known = parts.refusalReason() !== 'not_ready';
    for (const {event, arrivedMs} of early.take(ctx.nowMs, known)) {
      admit(ctx, event, arrivedMs);
    }
    for (const req of [...requests.values()]) {
      if (ctx.nowMs >= (req.failsAtMs ?? Number.POSITIVE_INFINITY))
        end.failUnserved(ctx, req);
      else if (ctx.nowMs >= req.deadlineMs) timedOut(ctx, req);
      else if (req.current) failures.checkStalled(ctx, req);
      else dispatcher.resume(ctx, req);
    }
  }

  function timedOut(ctx: GatewayContext, req: ForwardedRequest): void {
    end.cancel(ctx, req);
    const notRun = req.history.notRunProof() !== undefined;
    end.fail(ctx, req, notRun ? 'timed_out_unrun' : 'timed_out');
  }

  function refuseQuarantined(ctx: GatewayContext): void {
    for (const req of [...requests.values()]) {
      const answered = (req.current?.pieces ?? 0) > 0;
      if (answered || !quarantine.refuses(req.suspect)) continue;
      end.cancel(ctx, req);
      end.fail(ctx, req, 'quarantined');
    }
  }

  function abortAll(ctx: GatewayContext): void {
    for (const req of [...requests.values()]) {
      end.cancel(ctx, req);
      const notRun = req.history.notRunProof() !== undefined;
      end.fail(ctx, req, notRun ? 'draining' : 'broken');
    }
  }

  return {
    handlers: {
      request_arrived: arrived,
      caller_left: callerLeft,
      ...answers.handlers,
      ...lostEngines.handlers,
      ...reservations.handlers,
      peer_received: (ctx, event) => {
        reservations.handlers.peer_received?.(ctx, event);
        const {message} = event;
        if (message.kind !== 'endpoint_doubt') return;
        health.recordPeerFailure(message.endpoint, message.pauseMs, ctx.nowMs);
      },
    },
    expire: ctx => {
      expire(ctx);
      reservations.expire?.(ctx);
    },
    inFlight: () => requests.size + early.size(),
    refuseQuarantined,
    abortAll,
  };
}
