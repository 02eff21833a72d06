import type {HttpServer} from '@wisterialadder/runtime/http/http_server.js';
import {createEventSource} from '@wisterialadder/runtime/loop/event_source.js';
import type {SettingsOf} from '@wisterialadder/runtime/settings/settings_definition.js';
import {createCallTable} from '../shared/call_table.js';
import type {StandinRun} from '../shared/standin_run.js';
import {startStandin} from '../shared/start_standin.js';
import {platformConfigFromSettings} from './platform_config_from_settings.js';
import type {PlatformEvent} from './platform_event.js';
import {createPlatformNode} from './platform_node.js';
import {platformRoutes} from './platform_routes.js';
import type {PLATFORM_SETTINGS} from './platform_settings.js';

/** Starts the platform; its log is in memory and ends with the process. */
export function startPlatform(
  settings: SettingsOf<typeof PLATFORM_SETTINGS>,
  run: StandinRun,
): Promise<HttpServer> {
  const cfg = platformConfigFromSettings(settings);
  const source = createEventSource<PlatformEvent>();
  const push = (event: PlatformEvent): void => void source.push(event);
  const calls = createCallTable();
  run.onSignal(() => run.exit(0));
  return startStandin({
    run,
    address: settings.http.listen,
    node: createPlatformNode(cfg),
    source,
    tick: {kind: 'tick'},
    routes: platformRoutes(calls, cfg.maxRecordBytes, push),
    seed: settings.platform.seed,
    perform: action => {
      if (action.kind === 'close') calls.close(action.callId);
      else calls.answer(action.callId, action.status, action.body);
    },
  });
}
