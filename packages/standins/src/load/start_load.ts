import {logError} from '@wisterialadder/runtime/logging/log_error.js';
import {createEventSource} from '@wisterialadder/runtime/loop/event_source.js';
import {runLoop} from '@wisterialadder/runtime/loop/run_loop.js';
import {createSeededRandom} from '@wisterialadder/runtime/loop/seeded_random.js';
import type {SettingsOf} from '@wisterialadder/runtime/settings/settings_definition.js';
import type {StandinRun} from '../shared/standin_run.js';
import {createCaller} from './http/caller.js';
import {readExecutions} from './http/read_executions.js';
import type {LoadAction} from './load_action.js';
import type {LoadEvent} from './load_event.js';
import {createLoadNode} from './load_node.js';
import type {LOAD_SETTINGS} from './load_settings.js';
import type {Mix} from './mix/mix.js';
import type {LoadResult} from './stats/load_result.js';

/** Queue limit: the events of all streams pass through one loop. */
const MAX_PENDING = 1_000_000;

/** Executes a load run; undefined if it ends without a result. */
export async function startLoad(
  {load, baseline}: SettingsOf<typeof LOAD_SETTINGS>,
  mix: Mix,
  run: StandinRun,
): Promise<LoadResult | undefined> {
  const source = createEventSource<LoadEvent>(MAX_PENDING);
  const push = (event: LoadEvent): void => void source.push(event);
  const finished = createEventSource<'finished'>();
  const caller = run.store.add(createCaller(push));
  const onError = logError(run.logger);
  // Unique per run, so that no prompt is cached from an earlier run.
  const runId = `${load.seed}-${Date.now().toString(36)}`;
  let result: LoadResult | undefined;
  run.onSignal(() => push({kind: 'stop_requested'}));

  function perform(action: LoadAction): void {
    switch (action.kind) {
      case 'send_request':
        caller.send(load.routers[action.router] ?? '', action.request);
        return;
      case 'abort_request':
        caller.abort(action.id);
        return;
      case 'read_executions':
        readExecutions(load.services)
          .then(executions => push({kind: 'executions_read', executions}))
          .catch(onError);
        return;
      case 'finish':
        result = action.result;
        finished.push('finished');
    }
  }

  const cfg = {
    routers: load.routers.length,
    durationMs: load.duration_ms,
    maxInFlight: load.max_in_flight,
    graceMs: load.grace_ms,
    baselineRequests: baseline.requests,
    shortTokens: baseline.short_tokens,
  };
  await runLoop<LoadEvent, LoadAction>({
    node: createLoadNode(cfg, mix, runId),
    sources: [source.stream],
    tick: {kind: 'tick'},
    random: createSeededRandom(load.seed),
    perform,
    onError,
    stop: finished.stream,
  });
  return result;
}
