import type {Readiness} from '@wisterialadder/runtime/http/readiness.js';
import type {DisposableStore} from '@wisterialadder/runtime/lifecycle/disposable_store.js';
import type {Logger} from '@wisterialadder/runtime/logging/logger.js';
import type {Metrics} from '@wisterialadder/runtime/metrics/create_metrics.js';
import type {LogClient} from '@wisterialadder/runtime/platform/log_client.js';
import type {SettingsOf} from '@wisterialadder/runtime/settings/settings_definition.js';
import type {ADMIN_SETTINGS} from './settings.js';

/** Dependencies of the service. */
export interface AdminServiceParts {
  cfg: SettingsOf<typeof ADMIN_SETTINGS>;
  log: LogClient;
  logger: Logger;
  metrics: Metrics;
  readiness: Readiness;
  /** Disposes what the service opens. */
  store: DisposableStore;
}
