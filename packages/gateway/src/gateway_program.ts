import {performance} from 'node:perf_hooks';
import {never} from 'most';
import type {GatewayAction} from '@wisterialadder/core/gateway/actions/gateway_action.js';
import type {GatewayEvent} from '@wisterialadder/core/gateway/events/gateway_event.js';
import {createGatewayNode} from '@wisterialadder/core/gateway/gateway_node.js';
import {startHttpServer} from '@wisterialadder/runtime/http/http_server.js';
import {createOpsIntake} from '@wisterialadder/runtime/http/ops_intake.js';
import {startOpsServer} from '@wisterialadder/runtime/http/ops_server.js';
import type {Readiness} from '@wisterialadder/runtime/http/readiness.js';
import {logError} from '@wisterialadder/runtime/logging/log_error.js';
import {createEventSource} from '@wisterialadder/runtime/loop/event_source.js';
import {runLoop} from '@wisterialadder/runtime/loop/run_loop.js';
import {createSeededRandom} from '@wisterialadder/runtime/loop/seeded_random.js';
import {createMetrics} from '@wisterialadder/runtime/metrics/create_metrics.js';
import {reportEventSource} from '@wisterialadder/runtime/metrics/report_event_source.js';
import type {
  Program,
  ProgramContext,
} from '@wisterialadder/runtime/program/program.js';
import type {SettingsOf} from '@wisterialadder/runtime/settings/settings_definition.js';
import {performAction} from './action_handlers.js';
import {createAnswerWriter} from './callers/answer_writer.js';
import {startCallerServer} from './callers/caller_server.js';
import type {OpenRequests} from './callers/open_requests.js';
import {createUnreadAnswers} from './callers/unread_answers.js';
import {createAttemptRunner} from './endpoints/attempt_runner.js';
import {createActionHandlers} from './create_action_handlers.js';
import {gatewayConfigOf} from './gateway_config_of.js';
import {createGatewayLimits} from './gateway_limits.js';
import type {GatewayPorts} from './gateway_ports.js';
import {openPeerLink} from './peers/peer_link.js';
import {probeRoutes} from './probe_routes.js';
import {explainRoute} from './explain_route.js';
import {liftRoute} from './quarantine_route.js';
import {statusRoute} from './status_route.js';
import {GATEWAY_SETTINGS} from './settings.js';
import {createStoreAdapter} from './store/store_adapter.js';

/** Each wake-up costs processor time, which is scarce on entry VMs. */
const TICK_INTERVAL_MS = 25;
/** While the digests of a relay, 25 a second, cause the steps of the loop. */
const RARE_TICK_INTERVAL_MS = 100;

/** Sampling interval of the loop's delay. */
const EVENT_LOOP_PRECISION_MS = 500;

type GatewaySettings = typeof GATEWAY_SETTINGS;

/** Creates `wl-gateway` for a platform. */
export function createGatewayProgram(
  ports: (cfg: SettingsOf<GatewaySettings>) => GatewayPorts,
): Program<GatewaySettings> {
  return {
    name: 'wl-gateway',
    help: 'Forwards requests of callers to model engines and plain services.',
    settings: GATEWAY_SETTINGS,
    start: context => startGateway(context, ports(context.cfg)),
  };
}

async function startGateway(
  context: ProgramContext<GatewaySettings>,
  ports: GatewayPorts,
): Promise<Record<string, string>> {
  const {cfg, logger, store} = context;
  const onError = logError(logger);
  const source = createEventSource<GatewayEvent>();
  const push = (event: GatewayEvent): boolean => source.push(event);
  const metrics = createMetrics(EVENT_LOOP_PRECISION_MS);
  reportEventSource(metrics, source);
  const readiness: Readiness = {ready: false, reason: 'starting'};
  const open: OpenRequests = new Map();
  const incarnation = Date.now();

  const peers = store.add(
    await openPeerLink({
      address: cfg.peers.listen,
      secret: cfg.peers.secret,
      incarnation,
      onMessage: (from, fromIncarnation, message) =>
        push({
          kind: 'peer_received',
          from,
          incarnation: fromIncarnation,
          message,
        }),
      onError,
    }),
  );
  store.add(ports.store);
  store.add(ports.memory);
  const storeAdapter = createStoreAdapter(ports.store, push, onError);
  let connections = (): number => 0;
  const limits = store.add(
    createGatewayLimits({
      cfg,
      metrics,
      logger,
      connections: () => connections(),
    }),
  );
  const {budget} = limits;
  const attempts = store.add(
    createAttemptRunner({
      open,
      codec: ports.endpoints,
      budget,
      maxInterim: limits.maxInterim,
      push,
    }),
  );
  const callers = store.add(
    await startCallerServer({
      address: cfg.caller.listen,
      codec: ports.callers,
      open,
      budget,
      maxConnections: limits.maxConnections(),
      intake: limits.intake,
      push,
      onError,
      onBodyDropped: limits.bodyDropped,
      onConnectionClosed: limits.connectionClosed,
    }),
  );
  connections = callers.connections;
  const answers = createAnswerWriter({
    open,
    codec: ports.callers,
    unread: createUnreadAnswers(budget, limits.answers, limits.answerDropped),
    closing: callers.closing,
    push,
    onError,
  });
  const probe = store.add(
    await startHttpServer(
      cfg.caller.probe,
      probeRoutes(ports.readinessPath, readiness),
      onError,
      createOpsIntake(),
    ),
  );
  const node = createGatewayNode(
    gatewayConfigOf(cfg, peers.address, incarnation),
  );
  const ops = store.add(
    await startOpsServer(cfg.ops.listen, metrics, readiness, onError, [
      statusRoute(() => node.status(performance.now())),
      liftRoute(push),
      explainRoute(req => node.explain(performance.now(), req)),
    ]),
  );

  const handlers = createActionHandlers({
    answers,
    attempts,
    callers,
    memory: ports.memory,
    metrics,
    logger,
    peers,
    readiness,
    storeAdapter,
    push,
    exit: context.exit,
  });

  context.onSignal(() => push({kind: 'stop_requested'}));
  context.onReload(next => {
    const changed = gatewayConfigOf(next, peers.address, incarnation);
    push({kind: 'settings_changed', cfg: changed});
    limits.apply(next);
    callers.setMaxConnections(limits.maxConnections());
  });
  runLoop<GatewayEvent, GatewayAction>({
    node,
    sources: [source.stream],
    tick: {kind: 'tick'},
    tickIntervalMs: TICK_INTERVAL_MS,
    rareTickIntervalMs: RARE_TICK_INTERVAL_MS,
    random: createSeededRandom(incarnation),
    perform: action => performAction(handlers, action),
    onError,
    stop: never(),
  }).catch(onError);
  return {
    caller: callers.address,
    probe: probe.address,
    ops: ops.address,
    peers: peers.address,
  };
}
