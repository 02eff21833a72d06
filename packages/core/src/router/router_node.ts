import type {ClaimListener} from '../claims/claim_listener.js';
import {createClaimsFeature} from '../claims/claims_feature.js';
import {isDuplicateCode} from '../claims/refusal_code.js';
import {createDrain} from '../drain/drain.js';
import {createEndpointDirectory} from '../endpoints/endpoint_directory.js';
import {createEndpointGossip} from '../endpoints/endpoint_gossip.js';
import {createMembership} from '../membership/membership.js';
import {createOrphans} from '../orphans/orphans.js';
import {isSessionInUse} from '../orphans/is_session_in_use.js';
import type {AliveMembers} from '../membership/alive_members.js';
import {createSharedLimits} from '../limits/shared_limits.js';
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

/**
 * A router's decisions: requests, table, endpoints and peers. `otherMembers`
 * replaces the router's own view of the membership, for tests.
 */
export function createRouterNode(
  cfg: RouterConfig,
  otherMembers?: AliveMembers,
): DecisionNode<RouterEvent, RouterAction> {
  const endpointGossip = createEndpointGossip(cfg, () => endpoints);
  const endpoints = createEndpointDirectory(endpointGossip);
  const queue = new FifoQueue();
  const membership = createMembership({
    cfg,
    endpoints: endpointGossip,
    tableNext: () => table.fold.next(),
  });
  const members = otherMembers ?? membership;
  const table = createTableFeature({
    members,
    retentionMs: cfg.tableRetentionMs,
    onChange: ctx =>
      endpoints.syncRows(ctx, table.fold.rowsOf('endpoint'), table.fold.next()),
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
    refused: (ctx, reqId, code) => {
      const reason = isDuplicateCode(code) ? 'duplicate' : 'refused';
      tracker.abort(ctx, reqId, reason, code);
    },
  };
  const claims = createClaimsFeature(cfg, members, claimListener);
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
      drain.advance(ctx, tracker.size() + claims.unrecorded(ctx));
    },
    settle: ctx => {
      dispatch(ctx);
      drain.advance(ctx, tracker.size() + claims.unrecorded(ctx));
    },
  };

  const orphans = createOrphans({
    members: membership,
    endpoints,
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
    claims,
    limits,
    membership,
    orphans,
  ]);
}
