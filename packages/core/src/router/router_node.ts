import type {ClaimListener} from '../claims/claim_listener.js';
import type {Claims} from '../claims/claims.js';
import {createNoClaims} from '../claims/no_claims.js';
import {createDrain} from '../drain/drain.js';
import {createEndpointDirectory} from '../endpoints/endpoint_directory.js';
import {createEndpointGossip} from '../endpoints/endpoint_gossip.js';
import {createUnlimited} from '../limits/unlimited.js';
import {createMembership} from '../membership/membership.js';
import {createOrphans} from '../orphans/orphans.js';
import {isSessionInUse} from '../orphans/is_session_in_use.js';
import {FifoQueue} from '../queue/fifo_queue.js';
import {createRequestTracker} from '../requests/request_tracker.js';
import {createStrategy} from '../routing/create_strategy.js';
import {createTableFeature} from '../table/table_feature.js';
import type {DecisionNode} from '../types/decision_node.js';
import type {RouterAction} from './actions/router_action.js';
import {createAdmission} from './admission.js';
import {createDispatcher} from './dispatcher.js';
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
  const endpointGossip = createEndpointGossip(cfg, () => endpoints);
  const endpoints = createEndpointDirectory(endpointGossip);
  const queue = new FifoQueue();
  const limits = createUnlimited();
  const table = createTableFeature(ctx =>
    endpoints.syncRows(ctx, table.fold.rowsOf('endpoint'), table.fold.next()),
  );
  const members = createMembership({
    cfg,
    endpoints: endpointGossip,
    tableNext: () => table.fold.next(),
  });
  const tracker = createRequestTracker({
    cfg,
    queue,
    endpoints,
    onEnd: (ctx, state, outcome) => {
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
  const strategy = createStrategy(cfg.strategy);
  const admit = createAdmission({
    cfg,
    table,
    endpoints,
    limits,
    claims,
    queue,
    tracker,
    drain,
  });
  const dispatch = createDispatcher({queue, tracker, endpoints, strategy});

  const requests: RouterFeature = {
    handlers: {
      request_arrived: admit,
      request_cancelled: (ctx, event) =>
        tracker.abort(ctx, event.reqId, 'cancelled', 'cancelled'),
      attempt_delta: tracker.delta,
      attempt_ended: tracker.ended,
      attempt_failed: tracker.failed,
      endpoint_report: endpoints.report,
      endpoint_unreachable: (ctx, event) =>
        endpoints.unreachable(ctx, event.endpoint),
      stop_requested: ctx => drain.stopRequested(ctx, tracker.size()),
    },
    expire: ctx => {
      tracker.expire(ctx);
      drain.advance(ctx, tracker.size());
    },
    settle: ctx => {
      dispatch(ctx);
      drain.advance(ctx, tracker.size());
    },
  };

  const orphans = createOrphans({
    members,
    endpoints,
    hasPeers: cfg.peers.some(peer => peer !== cfg.address),
    knows: (endpoint, session) =>
      isSessionInUse(tracker.get(session.reqId), endpoint, session),
  });

  function cutAll(ctx: RouterContext): void {
    for (const state of [...tracker.all()]) {
      tracker.abort(ctx, state.entry.reqId, 'failure', 'draining');
    }
  }

  return runFeatures([
    table,
    createReadinessFeature(table, drain),
    endpointGossip,
    requests,
    members,
    orphans,
  ]);
}
