import {startOpsServer} from '@wisterialadder/runtime/http/ops_server.js';
import type {Readiness} from '@wisterialadder/runtime/http/readiness.js';
import {logError} from '@wisterialadder/runtime/logging/log_error.js';
import {createMetrics} from '@wisterialadder/runtime/metrics/create_metrics.js';
import {HttpLogClient} from '@wisterialadder/runtime/platform/http_log_client.js';
import type {
  Program,
  ProgramContext,
} from '@wisterialadder/runtime/program/program.js';
import {startAdminService} from './admin_service.js';
import {ADMIN_SETTINGS} from './settings.js';

type AdminSettings = typeof ADMIN_SETTINGS;

/** `wl-admin`: the administration API. */
export const ADMIN_PROGRAM: Program<AdminSettings> = {
  name: 'wl-admin',
  help: 'Serves the administration API for the table and the endpoints.',
  settings: ADMIN_SETTINGS,
  start: startAdmin,
};

async function startAdmin(
  run: ProgramContext<AdminSettings>,
): Promise<Record<string, string>> {
  const {cfg, logger, store} = run;
  const metrics = createMetrics();
  const readiness: Readiness = {ready: false, reason: 'table not loaded'};
  const onError = logError(logger);
  const ops = store.add(
    await startOpsServer(cfg.ops.listen, metrics, readiness, onError),
  );
  const log = new HttpLogClient(cfg.platform.url);
  const parts = {cfg, log, logger, metrics, readiness, store};
  const api = await startAdminService(parts);
  run.onSignal(() => {
    Object.assign(readiness, {ready: false, reason: 'stopping'});
    logger.write('WL9002');
    run.exit(0);
  });
  return {api: api.address, ops: ops.address};
}
