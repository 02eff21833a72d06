import type {HttpServer} from '@wisterialadder/runtime/http/http_server.js';
import {createEventSource} from '@wisterialadder/runtime/loop/event_source.js';
import type {SettingsOf} from '@wisterialadder/runtime/settings/settings_definition.js';
import {createCallTable} from '../shared/call_table.js';
import {exitAfterFlush} from '../shared/exit_after_flush.js';
import type {StandinRun} from '../shared/standin_run.js';
import {startStandin} from '../shared/start_standin.js';
import type {ServiceAction} from './service_action.js';
import type {ServiceEvent} from './service_event.js';
import {createServiceNode} from './service_node.js';
import {serviceRoutes} from './service_routes.js';
import type {SERVICE_SETTINGS} from './service_settings.js';

/** Starts a service; on SIGTERM it answers its calls before it exits. */
export function startService(
  {http, service}: SettingsOf<typeof SERVICE_SETTINGS>,
  run: StandinRun,
): Promise<HttpServer> {
  const node = createServiceNode({
    incarnation: `${Date.now().toString(36)}-${process.pid}`,
    latencyMs: service.latency_ms,
    maxCalls: service.max_calls,
  });
  const source = createEventSource<ServiceEvent>();
  const push = (event: ServiceEvent): void => void source.push(event);
  const calls = createCallTable();
  const exit = exitAfterFlush(run);
  run.onSignal(() => push({kind: 'stop_requested'}));

  function perform(action: ServiceAction): void {
    switch (action.kind) {
      case 'answer':
        calls.answer(action.callId, action.status, action.body);
        return;
      case 'refuse': {
        const {callId, code} = action;
        calls.answer(
          callId,
          503,
          {error: {code, message: 'not run'}},
          {
            'wl-not-run': 'true',
            'wl-leaving': String(code === 'leaving'),
          },
        );
        return;
      }
      case 'close':
        calls.close(action.callId);
        return;
      case 'exit':
        exit();
    }
  }

  return startStandin({
    run,
    address: http.listen,
    node,
    source,
    tick: {kind: 'tick'},
    routes: serviceRoutes(node, calls, push),
    seed: service.seed,
    perform,
  });
}
