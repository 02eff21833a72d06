import {
  startHttpServer,
  type HttpServer,
} from '@wisterialadder/runtime/http/http_server.js';
import {logError} from '@wisterialadder/runtime/logging/log_error.js';
import {createEventSource} from '@wisterialadder/runtime/loop/event_source.js';
import {runLoop} from '@wisterialadder/runtime/loop/run_loop.js';
import {createSeededRandom} from '@wisterialadder/runtime/loop/seeded_random.js';
import type {StandinParts} from './standin_parts.js';

/** Connects a node with its HTTP server and runs it until disposed. */
export async function startStandin<E, A>(
  parts: StandinParts<E, A>,
): Promise<HttpServer> {
  const {run, node, tick, perform} = parts;
  const onError = logError(run.logger);
  const stop = createEventSource<'stop'>();
  const server = run.store.add(
    await startHttpServer(parts.address, parts.routes, onError),
  );
  run.store.add({dispose: () => void stop.push('stop')});
  runLoop({
    node,
    sources: [parts.source.stream],
    tick,
    random: createSeededRandom(parts.seed),
    perform,
    onError,
    stop: stop.stream,
  }).catch(onError);
  return server;
}
