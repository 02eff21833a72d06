import type {SettingsFault} from './settings_fault.js';

/** A fault of one key and the file that it is in. */
export interface SettingsError extends SettingsFault {
  file: string;
}

/** Formats a fault for the operator. */
export function formatSettingsError(err: SettingsError): string {
  const location = `${err.file}: [${err.section}] ${err.key}`;
  return `${location}: ${err.problem}; allowed: ${err.allowed}`;
}
