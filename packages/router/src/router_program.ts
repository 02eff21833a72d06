import {createRouterNode} from '@wisterialadder/core/router/router_node.js';
import type {Deliver} from '@wisterialadder/core/router/actions/deliver.js';
import type {RouterAction} from '@wisterialadder/core/router/actions/router_action.js';
import type {RouterEvent} from '@wisterialadder/core/router/events/router_event.js';
import type {PeerMessage} from '@wisterialadder/core/router/messages/peer_message.js';
import type {Finish} from '@wisterialadder/core/router/actions/finish.js';
import {createLoadWatcher} from '@wisterialadder/runtime/endpoints/load_watcher.js';
import {startHttpServer} from '@wisterialadder/runtime/http/http_server.js';
import {createRequestIntake} from '@wisterialadder/runtime/http/request_intake.js';
import {startOpsServer} from '@wisterialadder/runtime/http/ops_server.js';
import type {Readiness} from '@wisterialadder/runtime/http/readiness.js';
import {logError} from '@wisterialadder/runtime/logging/log_error.js';
import {createEventSource} from '@wisterialadder/runtime/loop/event_source.js';
import {runLoop} from '@wisterialadder/runtime/loop/run_loop.js';
import {createSeededRandom} from '@wisterialadder/runtime/loop/seeded_random.js';
import {createMetrics} from '@wisterialadder/runtime/metrics/create_metrics.js';
import {reportEventSource} from '@wisterialadder/runtime/metrics/report_event_source.js';
import {startPeerTransport} from '@wisterialadder/runtime/peers/peer_transport.js';
import {HttpLogClient} from '@wisterialadder/runtime/platform/http_log_client.js';
import {createLogAdapter} from '@wisterialadder/runtime/platform/log_adapter.js';
import type {
  Program,
  ProgramContext,
} from '@wisterialadder/runtime/program/program.js';
import {never} from 'most';
import {performAction, type ActionHandlers} from './action_handlers.js';
import {callerRoutes} from './caller/caller_routes.js';
import type {OpenRequests} from './caller/open_requests.js';
import {createAttemptRunner} from './endpoint/attempt_runner.js';
import {createSessionClient} from './endpoint/session_client.js';
import {startVmListReader} from './platform/vm_list_reader.js';
import {findConflictingSettings} from './router_conflicting_settings.js';
import {ROUTER_SETTINGS} from './settings.js';

const BYTES_PER_MB = 1_048_576;
/** A request whose caller leaves more than this unread is cancelled. */
const MAX_UNREAD_BYTES = 4 * BYTES_PER_MB;

type RouterSettings = typeof ROUTER_SETTINGS;

/** `wl-router`: admits, queues and routes requests. */
export const ROUTER_PROGRAM: Program<RouterSettings> = {
  name: 'wl-router',
  help: 'Routes requests of callers to model engines and plain services.',
  settings: ROUTER_SETTINGS,
  conflictingSettings: findConflictingSettings,
  start: startRouter,
};

async function startRouter(
  context: ProgramContext<RouterSettings>,
): Promise<Record<string, string>> {
  const {cfg, logger, store} = context;
  const onError = logError(logger);
  const source = createEventSource<RouterEvent>();
  const push = (event: RouterEvent): boolean => source.push(event);
  const metrics = createMetrics();
  reportEventSource(metrics, source);
  const readiness: Readiness = {ready: false, reason: 'starting'};
  const openRequests: OpenRequests = new Map();
  const incarnation = Date.now();

  const peers = store.add(
    await startPeerTransport<PeerMessage>({
      address: cfg.peers.listen,
      secret: cfg.peers.secret,
      incarnation,
      onMessage: (from, fromIncarnation, message) =>
        push({kind: 'peer_received', from, fromIncarnation, message}),
    }),
  );
  const owner = `${peers.address}#${incarnation}`;
  const attempts = store.add(createAttemptRunner({openRequests, owner, push}));
  const sessions = createSessionClient(owner, push);
  const watcher = store.add(
    createLoadWatcher(cfg.timeouts.load_report_interval, push),
  );
  const log = store.add(
    createLogAdapter(new HttpLogClient(cfg.platform.url), push),
  );
  store.add(startVmListReader(cfg.platform.url, push));
  const intake = store.add(createRequestIntake(cfg, metrics));
  const caller = store.add(
    await startHttpServer(
      cfg.caller.listen,
      callerRoutes({
        openRequests,
        maxBodyBytes: cfg.caller.max_body_mb * BYTES_PER_MB,
        intake,
        push,
      }),
      onError,
      intake,
    ),
  );
  const ops = store.add(
    await startOpsServer(cfg.ops.listen, metrics, readiness, onError),
  );

  function deliver({reqId, payload}: Deliver): void {
    const request = openRequests.get(reqId);
    if (!request) return;
    request.reply.deliver(payload);
    if (request.reply.buffered() <= MAX_UNREAD_BYTES) return;
    openRequests.delete(reqId);
    push({kind: 'request_cancelled', reqId});
  }

  function finish({reqId, outcome}: Finish): void {
    const request = openRequests.get(reqId);
    openRequests.delete(reqId);
    request?.reply.finish(outcome);
  }

  const handlers: ActionHandlers = {
    append: log.append,
    cancel_attempt: attempts.cancel,
    deliver,
    exit: ({code}) => context.exit(code),
    finish,
    observe: ({metric, labels, value}) =>
      metrics.observe(metric, labels, value),
    read_cache: action => void sessions.readCache(action),
    release_session: action => void sessions.release(action),
    reserve: action => void sessions.reserve(action),
    send_peer: ({to, message}) => peers.send(to, message),
    set_ready: ({ready, reason}) => {
      readiness.ready = ready;
      readiness.reason = reason;
    },
    start_attempt: attempts.start,
    stop_tail: log.stopTail,
    tail: log.tail,
    watch_endpoints: ({endpoints}) => watcher.watch(endpoints),
    write_log: ({event, fields}) => logger.write(event, fields),
  };

  context.onSignal(() => push({kind: 'stop_requested'}));
  const node = createRouterNode({
    address: peers.address,
    failureDomain: cfg.vm.failure_domain,
    incarnation,
    strategy: cfg.routing.strategy,
    queue: cfg.routing.queue,
    longPromptTokens: cfg.routing.long_prompt_tokens,
    firstTokenTimeoutMs: cfg.timeouts.first_token,
    idleTimeoutMs: cfg.timeouts.idle,
    drainNoticeMs: cfg.timeouts.drain_notice,
    maxWaiting: cfg.routing.max_waiting,
    peers: cfg.peers.seeds,
    tableRetentionMs: cfg.platform.log_retention,
    fleetSize: cfg.routing.fleet_size,
    keyMaxAgeMs: cfg.claims.key_max_age,
    clockToleranceMs: cfg.claims.clock_tolerance,
  });
  const loop = runLoop<RouterEvent, RouterAction>({
    node,
    sources: [source.stream],
    tick: {kind: 'tick'},
    random: createSeededRandom(cfg.routing.seed || incarnation),
    perform: action => performAction(handlers, action),
    onError,
    stop: never(),
  });
  loop.catch(onError);
  return {
    caller: caller.address,
    ops: ops.address,
    peers: peers.address,
  };
}
