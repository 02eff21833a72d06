import {parse} from 'ini';
import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import type {Setting} from './setting.js';
import type {SettingsDefinition, SettingsOf} from './settings_definition.js';
import type {SettingsError} from './settings_error.js';

type Sections = Record<string, Record<string, unknown>>;

/** Validates INI text against a definition and returns all faults. */
export function parseSettings<D extends SettingsDefinition>(
  definition: D,
  content: string,
  file: string,
): Result<SettingsOf<D>, SettingsError[]> {
  const sections = parse(content) as Sections;
  const errs = findUnknownKeys(definition, sections, file);
  const values: Record<string, Record<string, unknown>> = {};
  for (const [section, keys] of Object.entries(definition)) {
    const parsed: Record<string, unknown> = {};
    for (const [key, setting] of Object.entries(keys)) {
      const result = parseValue(setting, sections[section]?.[key]);
      if (result.ok) parsed[key] = result.val;
      else {
        const {allowed} = setting;
        errs.push({file, section, key, problem: result.val, allowed});
      }
    }
    values[section] = parsed;
  }
  return errs.length > 0 ? Err(errs) : Ok(values as SettingsOf<D>);
}

function parseValue(
  setting: Setting<unknown>,
  raw: unknown,
): Result<unknown, string> {
  // A template leaves a key empty if it has no value for it.
  const given = raw === '' ? undefined : raw;
  const value = given ?? setting.fallback ?? raw;
  if (value === undefined) return Err('is missing');
  const parsed = setting.schema.safeParse(String(value));
  if (parsed.success) return Ok(parsed.data);
  return Err(`"${String(value)}" is not allowed`);
}

function findUnknownKeys(
  definition: SettingsDefinition,
  sections: Sections,
  file: string,
): SettingsError[] {
  const errs: SettingsError[] = [];
  for (const [section, keys] of Object.entries(sections)) {
    const known = definition[section];
    if (typeof keys !== 'object' || keys === null || !known) {
      const allowed = `sections ${Object.keys(definition).join(', ')}`;
      errs.push({file, section, key: '', problem: 'unknown section', allowed});
      continue;
    }
    for (const key of Object.keys(keys)) {
      if (known[key]) continue;
      const allowed = Object.keys(known).join(', ');
      errs.push({file, section, key, problem: 'unknown key', allowed});
    }
  }
  return errs;
}
