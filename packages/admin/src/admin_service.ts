import {
  createAdminNode,
  type AdminNode,
} from '@wisterialadder/core/administration/admin_node.js';
import type {AdminAction} from '@wisterialadder/core/administration/admin_action.js';
import type {AdminEvent} from '@wisterialadder/core/administration/admin_event.js';
import type {Append} from '@wisterialadder/core/router/actions/append.js';
import {
  startHttpServer,
  type HttpServer,
} from '@wisterialadder/runtime/http/http_server.js';
import {createRequestIntake} from '@wisterialadder/runtime/http/request_intake.js';
import {logError} from '@wisterialadder/runtime/logging/log_error.js';
import {createEventSource} from '@wisterialadder/runtime/loop/event_source.js';
import {reportEventSource} from '@wisterialadder/runtime/metrics/report_event_source.js';
import {runLoop} from '@wisterialadder/runtime/loop/run_loop.js';
import {createSeededRandom} from '@wisterialadder/runtime/loop/seeded_random.js';
import {startLogTail} from '@wisterialadder/runtime/platform/log_tail.js';
import {fromPromise} from 'most';
import type {AdminServiceParts} from './admin_service_parts.js';
import {performAction, type ActionHandlers} from './action_handlers.js';
import type {ApiContext} from './api/api_context.js';
import {createEditSubmitter} from './api/edit_submitter.js';
import {editRoutes} from './api/edit_routes.js';
import {endpointRoutes} from './api/endpoint_routes.js';
import {readRoutes} from './api/read_routes.js';
import {createOperatorDirectory} from './auth/operator_directory.js';
import {probeRouters} from './status/probe_routers.js';

const BYTES_PER_KB = 1_024;

/** Starts the event loop, the reader of the table's log stream and the API. */
export async function startAdminService(
  parts: AdminServiceParts,
): Promise<HttpServer> {
  const {cfg, log, logger, metrics, readiness, store} = parts;
  const onError = logError(logger);
  const source = createEventSource<AdminEvent>();
  reportEventSource(metrics, source);
  const push = (event: AdminEvent): boolean => source.push(event);
  const edits = createEditSubmitter(push);
  const node = createAdminNode({
    answerWithinMs: cfg.edits.answer_within,
    retryEveryMs: cfg.edits.retry_every,
    retryForMs: cfg.edits.retry_for,
    maxOpen: cfg.edits.max_open,
  });

  async function append({appendId, stream, data}: Append): Promise<void> {
    const result = await log.append(stream, data);
    const lost = !result.ok && result.val !== 'not_appended';
    push({
      kind: 'append_settled',
      appendId,
      result: result.ok ? 'appended' : lost ? 'unknown' : 'not_appended',
      offset: result.ok ? result.val : -1,
    });
  }

  startLoop(node, source.stream, {
    answer_edit: edits.settle,
    append: action => void append(action).catch(onError),
    observe: ({metric, labels, value}) =>
      metrics.observe(metric, labels, value),
    set_ready: ({ready, reason}) => Object.assign(readiness, {ready, reason}),
    write_log: ({event, fields}) => logger.write(event, fields),
  });
  store.add(startLogTail(log, 'table', 0, push));

  const intake = store.add(createRequestIntake(cfg, metrics));
  const ctx: ApiContext = {
    node,
    edits,
    logger,
    operators: createOperatorDirectory({
      reader: cfg.keys.readers,
      operator: cfg.keys.operators,
      editor: cfg.keys.editors,
    }),
    intake,
    maxBodyBytes: cfg.admin.max_body_kb * BYTES_PER_KB,
    probeRouters: () => probeRouters(cfg.routers.ops, cfg.routers.timeout),
  };
  const routes = [
    ...readRoutes(ctx),
    ...editRoutes(ctx),
    ...endpointRoutes(ctx),
  ];
  return store.add(
    await startHttpServer(cfg.admin.listen, routes, onError, intake),
  );

  function startLoop(
    node: AdminNode,
    stream: typeof source.stream,
    handlers: ActionHandlers,
  ): void {
    let stop = (): void => undefined;
    const stopped = new Promise<void>(resolve => (stop = resolve));
    store.add({dispose: () => stop()});
    runLoop<AdminEvent, AdminAction>({
      node,
      sources: [stream],
      tick: {kind: 'tick'},
      random: createSeededRandom(1),
      perform: action => performAction(handlers, action),
      onError,
      stop: fromPromise(stopped),
    }).catch(onError);
  }
}
