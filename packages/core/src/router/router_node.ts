import type {ClaimListener} from '../claims/claim_listener.js';
import type {Claims} from '../claims/claims.js';
import {createNoClaims} from '../claims/no_claims.js';
import {createDrain} from '../drain/drain.js';
import {createEndpointDirectory} from '../endpoints/endpoint_directory.js';
import {createUnlimited} from '../limits/unlimited.js';
import {createQueue} from '../queue/create_queue.js';
import {createRequestTracker} from '../requests/request_tracker.js';
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
import {runFeatures} from './run_features.js';

/** A router's decisions: requests, table, endpoints and peers. */
export function createRouterNode(
  cfg: RouterConfig,
): DecisionNode<RouterEvent, RouterAction> {
  const endpoints = createEndpointDirectory();
  const queue = createQueue(cfg);
  const prefixIndex = createPrefixIndex(endpoints);
  const strategy = createStrategy(cfg, prefixIndex.cachedPrefix);
  const limits = createUnlimited();
  const table = createTableFeature(ctx => {
    endpoints.syncRows(ctx, table.fold.rowsOf('endpoint'));
    prefixIndex.prune();
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
    refused: (ctx, reqId, code) => tracker.abort(ctx, reqId, 'refused', code),
  };
  const claims: Claims = createNoClaims(claimListener);
  const drain = createDrain({noticeMs: cfg.drainNoticeMs, cutAll});
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
      drain.advance(ctx, tracker.size());
    },
    settle: ctx => {
      dispatcher.dispatch(ctx);
      drain.advance(ctx, tracker.size());
    },
  };

  function cutAll(ctx: RouterContext): void {
    for (const state of [...tracker.all()]) {
      tracker.abort(ctx, state.entry.reqId, 'failure', 'draining');
    }
  }

  const readiness = createReadinessFeature(table, drain);
  return runFeatures([table, readiness, requests, prefixIndex]);
}
