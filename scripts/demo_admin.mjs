// Runs the administration API of the sample configuration "cotecode" with an
// in-memory log, for the commands in docs/ADMIN_API.md. An argument IP:PORT
// overrides the address in the settings file.
import {join} from 'node:path';
import {startAdminService} from '../packages/admin/dist/admin_service.js';
import {ADMIN_SETTINGS} from '../packages/admin/dist/settings.js';
import {createDisposableStore} from '../packages/runtime/dist/lifecycle/disposable_store.js';
import {createLogger} from '../packages/runtime/dist/logging/logger.js';
import {createMetrics} from '../packages/runtime/dist/metrics/create_metrics.js';
import {MemoryLogClient} from '../packages/runtime/dist/mocks/memory_log_client.js';
import {readSettings} from '../packages/runtime/dist/settings/read_settings.js';

const SETTINGS_FILE = '../config/cotecode/admin-amman-1a.ini';

const file = join(import.meta.dirname, SETTINGS_FILE);
const cfg = readSettings(ADMIN_SETTINGS, file);
if (!cfg.ok) throw new Error(JSON.stringify(cfg.val));
const [listen = cfg.val.admin.listen] = process.argv.slice(2);
const store = createDisposableStore(console.error);
const server = await startAdminService({
  cfg: {...cfg.val, admin: {...cfg.val.admin, listen}},
  log: new MemoryLogClient(),
  logger: createLogger('wl-admin', {demo: true}),
  metrics: createMetrics(),
  readiness: {ready: false, reason: 'starting'},
  store,
});
console.log(`administration API on http://${server.address}`);
for (const signal of ['SIGTERM', 'SIGINT']) {
  process.on(signal, () => void store.dispose().then(() => process.exit(0)));
}
