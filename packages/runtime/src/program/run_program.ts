import {cac} from 'cac';
import {createDisposableStore} from '../lifecycle/disposable_store.js';
import {createStopSignals} from '../lifecycle/stop_signals.js';
import {createSettingsReloader} from './settings_reloader.js';
import {logError} from '../logging/log_error.js';
import {createLogger} from '../logging/logger.js';
import {readSettings} from '../settings/read_settings.js';
import type {
  SettingsDefinition,
  SettingsOf,
} from '../settings/settings_definition.js';
import {
  formatSettingsError,
  type SettingsError,
} from '../settings/settings_error.js';
import type {Program} from './program.js';
import {VERSION} from './version.js';

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

/**
 * Reads the command line and settings, then starts the program.
 * @param defaultFile settings file used without `--config`
 */
export async function runProgram<D extends SettingsDefinition>(
  program: Program<D>,
  defaultFile?: string,
): Promise<void> {
  const cli = cac(program.name);
  cli.option('--config <file>', 'Settings file (INI)');
  cli.option('--check', 'Check the settings file and exit');
  cli.usage(`--config FILE\n\n${program.help}`);
  cli.help();
  cli.version(VERSION);
  const {options} = cli.parse();
  if (options['help'] || options['version']) return;
  const file = (options['config'] as string | undefined) ?? defaultFile;
  if (!file) {
    process.stderr.write(`${program.name}: --config FILE is required\n`);
    process.exit(EXIT_USAGE);
  }
  const settings = readSettings(program.settings, file);
  if (!settings.ok) return exitWithSettingsErrors(settings.val);
  const faults = program.conflictingSettings?.(settings.val) ?? [];
  if (faults.length > 0) {
    return exitWithSettingsErrors(faults.map(fault => ({file, ...fault})));
  }
  if (options['check']) {
    process.stdout.write(`${file}: ok\n`);
    return;
  }
  await start(program, file, settings.val);
}

function exitWithSettingsErrors(errs: SettingsError[]): never {
  for (const err of errs) {
    process.stderr.write(`${formatSettingsError(err)}\n`);
  }
  process.exit(EXIT_USAGE);
}

async function start<D extends SettingsDefinition>(
  program: Program<D>,
  file: string,
  cfg: SettingsOf<D>,
): Promise<void> {
  const logger = createLogger(program.name, {pid: process.pid});
  const store = createDisposableStore(logError(logger));
  const exit = (code: number): void => {
    void store.dispose().finally(() => process.exit(code));
  };
  // An error in one callback must not end the requests of all others.
  process.on('unhandledRejection', logError(logger));
  process.on('uncaughtException', logError(logger));
  const {onStop: onSignal} = createStopSignals();
  const reloader = createSettingsReloader(program, file, logger);
  store.add(reloader);
  try {
    const onReload = reloader.onReload;
    const context = {cfg, logger, store, exit, onSignal, onReload};
    const addresses = await program.start(context);
    if (!addresses) return;
    logger.write('WL9001', {version: VERSION, ...addresses});
  } catch (err) {
    const problem = err instanceof Error ? err.message : String(err);
    process.stderr.write(`${program.name}: cannot start: ${problem}\n`);
    exit(EXIT_FAILURE);
  }
}
