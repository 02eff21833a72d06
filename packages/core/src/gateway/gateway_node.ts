import {createPublishedConfiguration} from '../configuration/published_configuration.js';
import {createDrain} from '../drain/drain.js';
import {createHintHandler} from '../endpoint_hints/hint_handler.js';
import {createFleetKnowledge} from '../endpoint_limits/fleet_knowledge.js';
import {createLimitRoom} from '../endpoint_limits/limit_room.js';
import {createRecentStarts} from '../endpoint_limits/recent_starts.js';
import {isLargeFleet} from '../fleet/choose_relay.js';
import {createFleetGossip} from '../fleet/fleet_gossip.js';
import {createFleetMembers} from '../fleet/fleet_members.js';
import {createWorkIndex} from '../fleet/work_index.js';
import {createForwarding} from '../forwarding/forwarding.js';
import type {Refusal} from '../forwarding/refusal.js';
import {createRetryBudget} from '../forwarding/retry_budget.js';
import {createQuarantine} from '../quarantine/quarantine.js';
import {findEndpointId} from '../registry/find_endpoint_id.js';
import {runFeatures} from '../shared/run_features.js';
import {createEndpointSelection} from '../spread/endpoint_selection.js';
import {createPeerRenewals} from '../tickets/peer_renewals.js';
import {createStoreWatch} from '../store_watch/store_watch.js';
import {createWorkLearning} from '../work_model/work_learning.js';
import type {DecisionNode} from '../types/decision_node.js';
import type {GatewayAction} from './actions/gateway_action.js';
import type {GatewayEvent} from './events/gateway_event.js';
import type {GatewayConfig} from './gateway_config.js';
import type {GatewayContext} from './gateway_context.js';
import {createEndpointViews} from './endpoint_views.js';
import {explain} from './explain.js';
import type {ExplainRequest} from './explain_request.js';
import type {Explanation} from './explanation.js';
import {describeGateway} from './describe_gateway.js';
import type {GatewayStatus} from './gateway_status.js';
import {createGatewayShutdown} from './gateway_shutdown.js';
import {isIdle} from './is_idle.js';
import {createGatewayReadiness} from './gateway_readiness.js';
import {createStartTime} from './start_time.js';

/** Decision logic of a gateway: requests, endpoints, store and peers. */
export interface GatewayNode extends DecisionNode<GatewayEvent, GatewayAction> {
  /** Status of the gateway at a time of the steady clock. */
  status(nowMs: number): GatewayStatus;
  /** Where a described request would go; nothing is sent or recorded. */
  explain(nowMs: number, req: ExplainRequest): Explanation;
}

/** Creates the decision logic of a gateway without any state. */
export function createGatewayNode(cfg: GatewayConfig): GatewayNode {
  let settings = cfg;
  const startTime = createStartTime();
  const configuration = createPublishedConfiguration();
  const views = createEndpointViews(configuration);
  const {registry, drains, health, pauses, limits, warmUp} = views;
  const members = createFleetMembers(cfg.address);
  const starts = createRecentStarts(cfg.address);
  const workIndex = createWorkIndex(starts.add);
  const learning = createWorkLearning(members);
  const limitRoom = createLimitRoom({
    self: cfg.address,
    starts,
    ratesOf: (nowMs, endpoint) =>
      [limits.rateOf(endpoint), warmUp.rateOf(nowMs, endpoint)].filter(
        rate => rate !== undefined,
      ),
    knowledge: createFleetKnowledge(members, startTime.uptimeMs),
  });

  const store = createStoreWatch({
    self: cfg.address,
    members,
    configuration,
    registry,
    drains,
    configurationChanged: ctx => {
      views.warmUpReport.changed();
      const current = configuration.current();
      if (current) ctx.emit({kind: 'apply_limits', limits: current.limits});
    },
    endpointsChanged: views.retainRegistered,
    storeRestored: ctx => {
      gossip.storeRestored(ctx);
      quarantine.storeRestored();
    },
  });
  const gossip = createFleetGossip({
    self: {
      address: cfg.address,
      failureDomain: cfg.failureDomain,
      incarnation: cfg.incarnation,
    },
    seeds: cfg.seeds,
    members,
    workIndex,
    storeReachable: () => store.reachable(),
    draining: () => drain.stage() !== 'running',
  });
  const selection = createEndpointSelection({
    failureDomain: cfg.failureDomain,
    configuration,
    registry,
    drains,
    health,
    pauses,
    limitRoom,
    workIndex,
    model: learning.model,
    largeFleet: () => isLargeFleet(members.knownCount()),
    newlyStarted: startTime.newlyStarted,
  });
  const hints = createHintHandler({
    registry,
    pauses,
    limits,
    members,
    endpointsChanged: views.retainRegistered,
  });
  const quarantine = createQuarantine({
    members,
    isReader: store.isReader,
    storeReachable: store.reachable,
    onQuarantined: ctx => forwarding.refuseQuarantined(ctx),
  });
  const retryBudget = createRetryBudget(() => ({
    ratio: settings.retryRatio,
    extra: settings.retryExtra,
    windowMs: settings.retryWindowMs,
  }));
  const forwarding = createForwarding({
    self: cfg.address,
    incarnation: cfg.incarnation,
    configuration,
    selection,
    health,
    members,
    hints,
    pauses,
    gossip,
    quarantine,
    retryBudget,
    registry,
    model: learning.model,
    findEndpointId: name => findEndpointId(registry, name),
    isLeaving: id => registry.get(id)?.entry.state === 'leaving',
    refusalReason,
  });
  const drain = createDrain<GatewayContext>({
    noticeMs: () => settings.drainNoticeMs,
    limitMs: () => settings.drainLimitMs,
    abortAll: ctx => forwarding.abortAll(ctx),
  });

  function refusalReason(): Refusal | undefined {
    const stage = drain.stage();
    if (stage === 'draining' || stage === 'stopped') return 'draining';
    return store.loaded() ? undefined : 'not_ready';
  }

  const {step} = runFeatures<GatewayEvent, GatewayAction>([
    startTime,
    store,
    views.warmUpReport,
    gossip,
    hints,
    quarantine,
    forwarding,
    learning,
    createPeerRenewals({registry, pauses, hints}),
    {
      handlers: {
        settings_changed: (_ctx, event) => void (settings = event.cfg),
      },
    },
    createGatewayShutdown(drain, forwarding.inFlight),
    createGatewayReadiness(store, drain),
  ]);

  const view = {
    address: cfg.address,
    configuration,
    ...views,
    members,
    workIndex,
    selection,
    retryBudget,
    quarantine,
    model: learning.model,
    stage: drain.stage,
    inFlight: forwarding.inFlight,
    storeReachable: store.reachable,
    knowledgeAgeMs: store.ageMs,
  };

  return {
    step,
    mayTickRarely: nowMs =>
      isIdle({store, drain, forwarding}, nowMs) && gossip.isPaced(nowMs),
    status: nowMs => describeGateway(view, nowMs),
    explain: (nowMs, req) => explain(view, nowMs, req),
  };
}
