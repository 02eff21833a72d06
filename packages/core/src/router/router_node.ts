import type {ClaimListener} from '../claims/claim_listener.js';
import {createClaimsFeature} from '../claims/claims_feature.js';
import {isDuplicateCode} from '../claims/refusal_code.js';
import {createDrain} from '../drain/drain.js';
import {createEndpointDirectory} from '../endpoints/create_endpoint_directory.js';
import {createEndpointGossip} from '../endpoints/endpoint_gossip.js';
import {createMembership} from '../membership/membership.js';
import {createOrphans} from '../orphans/orphans.js';
import {isSessionInUse} from '../orphans/is_session_in_use.js';
import type {AliveMembers} from '../membership/alive_members.js';
import {createSharedLimits} from '../limits/shared_limits.js';
import {createQueue} from '../queue/create_queue.js';
import {createQueueGauges} from '../queue/queue_gauges.js';
import {createRequestTracker} from '../requests/create_request_tracker.js';
import {createReservations} from '../reservations/reservations.js';
import {createStrategy} from '../routing/create_strategy.js';
import {createPrefixIndex} from '../routing/prefix_index.js';
import {createTableFeature} from '../table/table_feature.js';
import type {DecisionNode} from '../types/decision_node.js';
import type {RouterAction} from './actions/router_action.js';
import {createAdmission} from './admission.js';
import {createDispatcher} from './dispatcher.js';
import {createLoadPolicy} from './load_policy.js';
import type {RouterEvent} from './events/router_event.js';
import type {RouterConfig} from './router_config.js';
import type {RouterContext} from './router_context.js';
import type {RouterFeature} from './router_feature.js';
import {createReadinessFeature} from './readiness_feature.js';
import {runFeatures} from '../shared/run_features.js';

/**
 * Creates the decisions of a router: requests, table, endpoints and peers.
 * `membersOverride` replaces the router's own view of the membership in tests.
 */
export function createRouterNode(
  cfg: RouterConfig,
  membersOverride?: AliveMembers,
): DecisionNode<RouterEvent, RouterAction> {
  const endpointGossip = createEndpointGossip(cfg, () => endpoints);
  const endpoints = createEndpointDirectory(endpointGossip);
  const queue = createQueue(cfg);
  const prefixIndex = createPrefixIndex(endpoints);
  const strategy = createStrategy(cfg, prefixIndex.cachedPrefix);
  const membership = createMembership({
    cfg,
    endpoints: endpointGossip,
    tableNext: () => table.fold.next(),
  });
  const members = membersOverride ?? membership;
  const table = createTableFeature({
    members,
    retentionMs: cfg.tableRetentionMs,
    onChange: ctx => {
      const {fold} = table;
      endpoints.syncRows(ctx, fold.rowsOf('endpoint'), fold.next());
      prefixIndex.prune();
    },
  });
  const limits = createSharedLimits({
    members,
    incarnation: cfg.incarnation,
    fleetSize: cfg.fleetSize,
    customer: name => {
      const row = table.fold.get(`customer/${name}`)?.row;
      return row?.type === 'customer' ? row : undefined;
    },
  });
  const reservations = createReservations({
    endpoints,
    ready: (ctx, reqId, choice, candidates) =>
      dispatcher.start(ctx, reqId, choice, candidates),
    refused: (ctx, reqId) => tracker.backOff(ctx, reqId),
  });
  const policy = createLoadPolicy({
    cfg,
    queue,
    strategy,
    reservations,
    reject: (ctx, reqId, retryAfterMs) =>
      tracker.abort(ctx, reqId, 'refused', 'overloaded', retryAfterMs),
  });
  const {earlyRejection} = policy;
  const tracker = createRequestTracker({
    cfg,
    queue,
    endpoints,
    observer: policy.observer,
    onEnd: (ctx, state, outcome) => {
      policy.requestEnded(ctx, state, outcome);
      limits.release(ctx, state.entry.customer);
      if (!state.idempotent) claims.ended(ctx, state.entry.reqId, outcome);
    },
  });
  const claimListener: ClaimListener = {
    granted: (ctx, reqId) => tracker.claimGranted(ctx, reqId),
    refused: (ctx, reqId, code) => {
      const reason = isDuplicateCode(code) ? 'duplicate' : 'refused';
      tracker.abort(ctx, reqId, reason, code);
    },
  };
  const claims = createClaimsFeature(cfg, members, claimListener);
  const drain = createDrain<RouterContext>({
    noticeMs: () => cfg.drainNoticeMs,
    limitMs: () => undefined,
    abortAll,
  });
  const admit = createAdmission({
    cfg,
    table,
    endpoints,
    limits,
    claims,
    queue,
    tracker,
    drain,
    earlyRejection,
  });
  const dispatcher = createDispatcher({
    queue,
    tracker,
    endpoints,
    strategy,
    reservations,
    earlyRejection,
  });

  const requests: RouterFeature = {
    handlers: {
      request_arrived: admit,
      request_cancelled: (ctx, event) =>
        tracker.abort(ctx, event.reqId, 'cancelled', 'cancelled'),
      attempt_delta: tracker.delta,
      attempt_ended: tracker.ended,
      attempt_failed: tracker.failed,
      reservation_settled: reservations.settled,
      endpoint_report: endpoints.report,
      endpoint_unreachable: (ctx, event) =>
        endpoints.unreachable(ctx, event.endpoint),
      stop_requested: ctx => drain.stopRequested(ctx, tracker.size()),
    },
    expire: ctx => {
      tracker.expire(ctx);
      reservations.expire(ctx);
      earlyRejection.sweep(ctx);
      drain.advance(ctx, tracker.size() + claims.unrecordedOutcomes(ctx));
    },
    settle: ctx => {
      dispatcher.dispatch(ctx);
      drain.advance(ctx, tracker.size() + claims.unrecordedOutcomes(ctx));
    },
  };

  const orphans = createOrphans({
    members: membership,
    endpoints,
    hasPeers: cfg.peers.some(peer => peer !== cfg.address),
    isInUse: (endpoint, session) =>
      isSessionInUse(tracker.get(session.reqId), endpoint, session),
  });

  function abortAll(ctx: RouterContext): void {
    for (const state of [...tracker.all()]) {
      tracker.abort(ctx, state.entry.reqId, 'failure', 'draining');
    }
  }

  return runFeatures([
    table,
    createReadinessFeature(table, drain),
    endpointGossip,
    requests,
    createQueueGauges(queue),
    prefixIndex,
    claims,
    limits,
    membership,
    orphans,
  ]);
}
