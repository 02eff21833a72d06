import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import type {PlacerAction} from '@wisterialadder/core/placement/actions/placer_action.js';
import type {PlacerEvent} from '@wisterialadder/core/placement/events/placer_event.js';
import {createPlacerNode} from '@wisterialadder/core/placement/placer_node.js';
import {createLoadWatcher} from '@wisterialadder/runtime/endpoints/load_watcher.js';
import {startOpsServer} from '@wisterialadder/runtime/http/ops_server.js';
import type {Readiness} from '@wisterialadder/runtime/http/readiness.js';
import {logError} from '@wisterialadder/runtime/logging/log_error.js';
import {createEventSource} from '@wisterialadder/runtime/loop/event_source.js';
import {runLoop} from '@wisterialadder/runtime/loop/run_loop.js';
import {createSeededRandom} from '@wisterialadder/runtime/loop/seeded_random.js';
import {createMetrics} from '@wisterialadder/runtime/metrics/create_metrics.js';
import {reportEventSource} from '@wisterialadder/runtime/metrics/report_event_source.js';
import {HttpLogClient} from '@wisterialadder/runtime/platform/http_log_client.js';
import {createLogAdapter} from '@wisterialadder/runtime/platform/log_adapter.js';
import type {
  Program,
  ProgramContext,
} from '@wisterialadder/runtime/program/program.js';
import {never} from 'most';
import {performAction, type ActionHandlers} from './action_handlers.js';
import {createOrderClient} from './orders/order_client.js';
import {placerConfigOf} from './placer_config_of.js';
import {PLACER_SETTINGS} from './settings.js';
import {createWeightStoreClient} from './weights/weight_store_client.js';

type PlacerSettings = typeof PLACER_SETTINGS;

/** `wl-placer`: decides which engine holds which model. */
export const PLACER_PROGRAM: Program<PlacerSettings> = {
  name: 'wl-placer',
  help: 'Places models, adapters, versions and roles on engines.',
  settings: PLACER_SETTINGS,
  start: startPlacer,
};

async function startPlacer(
  run: ProgramContext<PlacerSettings>,
): Promise<Record<string, string>> {
  const {cfg, logger, store} = run;
  const onError = logError(logger);
  const source = createEventSource<PlacerEvent>();
  const push = (event: PlacerEvent): boolean => source.push(event);
  const metrics = createMetrics();
  reportEventSource(metrics, source);
  const readiness: Readiness = {ready: false, reason: 'starting'};

  const orders = store.add(createOrderClient(() => performance.now(), push));
  const weights = createWeightStoreClient(cfg.platform.url, push);
  const watcher = store.add(
    createLoadWatcher(cfg.timeouts.load_report_interval, push),
  );
  const log = store.add(
    createLogAdapter(new HttpLogClient(cfg.platform.url), push),
  );
  const ops = store.add(
    await startOpsServer(cfg.ops.listen, metrics, readiness, onError),
  );

  const handlers: ActionHandlers = {
    append: log.append,
    exit: ({code}) => run.exit(code),
    observe: ({metric, labels, value}) =>
      metrics.observe(metric, labels, value),
    request_weights: weights.request,
    send_order: orders.send,
    set_ready: ({ready, reason}) => {
      readiness.ready = ready;
      readiness.reason = reason;
    },
    tail: log.tail,
    watch_endpoints: ({endpoints}) => watcher.watch(endpoints),
    write_log: ({event, fields}) => logger.write(event, fields),
  };

  run.onSignal(() => push({kind: 'stop_requested'}));
  // A UUID, since two starts could read the same time from the clock.
  const startId = randomUUID();
  const holder = `${cfg.vm.failure_domain}/${ops.address}#${startId}`;
  const loop = runLoop<PlacerEvent, PlacerAction>({
    node: createPlacerNode(placerConfigOf(cfg, holder)),
    sources: [source.stream],
    tick: {kind: 'tick'},
    random: createSeededRandom(parseInt(startId.slice(0, 8), 16)),
    perform: action => performAction(handlers, action),
    onError,
    stop: never(),
  });
  loop.catch(onError);
  return {ops: ops.address};
}
