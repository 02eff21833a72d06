import type {HttpServer} from '@wisterialadder/runtime/http/http_server.js';
import {createEventSource} from '@wisterialadder/runtime/loop/event_source.js';
import type {SettingsOf} from '@wisterialadder/runtime/settings/settings_definition.js';
import {createCallTable} from '../shared/call_table.js';
import {exitAfterFlush} from '../shared/exit_after_flush.js';
import type {StandinRun} from '../shared/standin_run.js';
import {startStandin} from '../shared/start_standin.js';
import {engineConfigFromSettings} from './engine_config_from_settings.js';
import {createEngineNode} from './engine_node.js';
import type {ENGINE_SETTINGS} from './engine_settings.js';
import type {EngineEvent} from './events/engine_event.js';
import {createEngineActionExecutor} from './http/engine_action_executor.js';
import {engineRoutes} from './http/engine_routes.js';

/** Starts an engine; on SIGTERM it finishes its streams before it exits. */
export function startEngine(
  cfg: SettingsOf<typeof ENGINE_SETTINGS>,
  run: StandinRun,
): Promise<HttpServer> {
  const incarnation = `${Date.now().toString(36)}-${process.pid}`;
  const node = createEngineNode(engineConfigFromSettings(cfg, incarnation));
  const source = createEventSource<EngineEvent>();
  const push = (event: EngineEvent): void => void source.push(event);
  const calls = createCallTable();
  run.onSignal(() => push({kind: 'stop_requested'}));
  return startStandin({
    run,
    address: cfg.http.listen,
    node,
    source,
    tick: {kind: 'tick'},
    routes: engineRoutes(node, calls, push),
    seed: cfg.engine.seed,
    perform: createEngineActionExecutor(
      calls,
      cfg.engine.weight_store,
      push,
      exitAfterFlush(run),
    ),
  });
}
