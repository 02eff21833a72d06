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

/** Pause between two looks at the time of the file's last change. */
const LOOK_INTERVAL_MS = 3_000;

/** Reads the settings of a running program again. */
export interface Reload<D extends SettingsDefinition> extends Disposable {
  onReload(handler: (cfg: SettingsOf<D>) => void): void;
}

/** Watches a settings file; a faulty one is reported and left aside. */
export function createReload<D extends SettingsDefinition>(
  program: Program<D>,
  file: string,
  logger: Logger,
): Reload<D> {
  const handlers: ((cfg: SettingsOf<D>) => void)[] = [];
  let changedMs = changeTimeMs();

  function changeTimeMs(): number {
    try {
      return statSync(file).mtimeMs;
    } catch {
      // A file that is being replaced; the next look finds it.
      return 0;
    }
  }

  function look(): void {
    const nowMs = changeTimeMs();
    if (nowMs === 0 || nowMs === changedMs) return;
    changedMs = nowMs;
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

  const timer = setInterval(look, LOOK_INTERVAL_MS);
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
