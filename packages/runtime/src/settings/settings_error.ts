import type {SettingsFault} from './settings_fault.js';

/** One fault of a settings file. */
export interface SettingsError extends SettingsFault {
  file: string;
}

/** Formats a fault for the person who edits the file. */
export function formatSettingsError(err: SettingsError): string {
  const place = `${err.file}: [${err.section}] ${err.key}`;
  return `${place}: ${err.problem}; allowed: ${err.allowed}`;
}
