import {readFileSync} from 'node:fs';
import {Err, type Result} from '@wisterialadder/core/shared/result.js';
import {parseSettings} from './parse_settings.js';
import type {SettingsDefinition, SettingsOf} from './settings_definition.js';
import type {SettingsError} from './settings_error.js';

/** Reads and validates a settings file. */
export function readSettings<D extends SettingsDefinition>(
  definition: D,
  file: string,
): Result<SettingsOf<D>, SettingsError[]> {
  let content: string;
  try {
    content = readFileSync(file, 'utf8');
  } catch (err) {
    const problem = `cannot be read (${(err as Error).message})`;
    const allowed = 'a readable file';
    return Err([{file, section: '', key: '', problem, allowed}]);
  }
  return parseSettings(definition, content, file);
}
