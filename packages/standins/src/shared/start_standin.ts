import {
  startHttpServer,
  type HttpServer,
} from '@wisterialadder/runtime/http/http_server.js';
import {logError} from '@wisterialadder/runtime/logging/log_error.js';
import {createEventSource} from '@wisterialadder/runtime/loop/event_source.js';
import {runLoop} from '@wisterialadder/runtime/loop/run_loop.js';
import {createSeededRandom} from '@wisterialadder/runtime/loop/seeded_random.js';
import type {StandinOptions} from './standin_options.js';

/** Runs a stand-in's HTTP server and event loop until disposed. */
export async function startStandin<E, A>(
  options: StandinOptions<E, A>,
): Promise<HttpServer> {
  const {run, node, tick, perform} = options;
  const onError = logError(run.logger);
  const stop = createEventSource<'stop'>();
  const server = run.store.add(
    await startHttpServer(options.address, options.routes, onError),
  );
  run.store.add({dispose: () => void stop.push('stop')});
  runLoop({
    node,
    sources: [options.source.stream],
    tick,
    random: createSeededRandom(options.seed),
    perform,
    onError,
    stop: stop.stream,
  }).catch(onError);
  return server;
}
