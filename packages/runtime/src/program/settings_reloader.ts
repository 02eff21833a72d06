import {statSync} from 'node:fs';
import type {Disposable} from '../lifecycle/disposable.js';
import type {Logger} from '../logging/logger.js';
import {readSettings} from '../settings/read_settings.js';
import type {
  SettingsDefinition,
  SettingsOf,
} from '../settings/settings_definition.js';
import {formatSettingsError} from '../settings/settings_error.js';
import type {Program} from './program.js';

/** Time between two checks of the file's modification time. */
const POLL_INTERVAL_MS = 3_000;

/** Reloads the settings of a running program. */
export interface SettingsReloader<
  D extends SettingsDefinition,
> extends Disposable {
  onReload(handler: (cfg: SettingsOf<D>) => void): void;
}

/** Watches a settings file; a faulty file is reported and ignored. */
export function createSettingsReloader<D extends SettingsDefinition>(
  program: Program<D>,
  file: string,
  logger: Logger,
): SettingsReloader<D> {
  const handlers: ((cfg: SettingsOf<D>) => void)[] = [];
  let modifiedMs = readModifiedMs();

  function readModifiedMs(): number {
    try {
      return statSync(file).mtimeMs;
    } catch {
      // The file is being replaced; the next check finds it.
      return 0;
    }
  }

  function reloadIfModified(): void {
    const currentMs = readModifiedMs();
    if (currentMs === 0 || currentMs === modifiedMs) return;
    modifiedMs = currentMs;
    reload();
  }

  function reload(): void {
    const settings = readSettings(program.settings, file);
    const problems = settings.ok
      ? (program.conflictingSettings?.(settings.val) ?? []).map(fault =>
          formatSettingsError({file, ...fault}),
        )
      : settings.val.map(formatSettingsError);
    const taken = settings.ok && problems.length === 0;
    logger.write('WL9006', {taken, problems: problems.join('; ')});
    if (!taken) return;
    for (const handler of handlers) handler(settings.val);
  }

  const timer = setInterval(reloadIfModified, POLL_INTERVAL_MS);
  timer.unref();
  process.on('SIGHUP', reload);

  return {
    onReload: handler => handlers.push(handler),
    dispose: () => {
      clearInterval(timer);
      process.off('SIGHUP', reload);
    },
  };
}
