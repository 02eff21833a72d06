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
  /** Faults of settings that are each allowed but contradict each other. */
  conflictingSettings?(cfg: SettingsOf<D>): SettingsFault[];
  /**
   * Starts the program; answers the addresses it listens on, by name, or
   * nothing if it has already run to its end.
   */
  start(run: ProgramContext<D>): Promise<Record<string, string> | undefined>;
}

/** What a started program gets. */
export interface ProgramContext<D extends SettingsDefinition> {
  cfg: SettingsOf<D>;
  logger: Logger;
  store: DisposableStore;
  /** Registers what SIGTERM and SIGINT do; called once for each signal. */
  onSignal(handler: () => void): void;
  /**
   * Registers what happens when the settings file has changed and is sound.
   * Called for SIGHUP and for a change that no signal announces.
   */
  onReload(handler: (cfg: SettingsOf<D>) => void): void;
  /** Disposes everything and ends the process. */
  exit(code: number): void;
}
