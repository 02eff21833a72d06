import type {Logger} from '../logging/logger.js';
import type {DisposableStore} from '../lifecycle/disposable_store.js';
import type {SettingsFault} from '../settings/settings_fault.js';
import type {
  SettingsDefinition,
  SettingsOf,
} from '../settings/settings_definition.js';

/** A long-running program with a settings file. */
export interface Program<D extends SettingsDefinition> {
  name: string;
  help: string;
  settings: D;
  /** Faults of settings that are each allowed but conflict with each other. */
  conflictingSettings?(cfg: SettingsOf<D>): SettingsFault[];
  /**
   * Starts the program. Resolves with the addresses it listens on, by name, or
   * with undefined if it has already finished.
   */
  start(
    context: ProgramContext<D>,
  ): Promise<Record<string, string> | undefined>;
}

/** Passed to a program when it starts. */
export interface ProgramContext<D extends SettingsDefinition> {
  cfg: SettingsOf<D>;
  logger: Logger;
  store: DisposableStore;
  /** Registers a handler that is called for each SIGTERM and SIGINT. */
  onSignal(handler: () => void): void;
  /**
   * Registers a handler for changed settings, called if the file is valid.
   * A reload happens on SIGHUP or when the file's modification time changes.
   */
  onReload(handler: (cfg: SettingsOf<D>) => void): void;
  /** Disposes of everything in `store` and ends the process. */
  exit(code: number): void;
}
