import type {SettingsDefinition} from '@wisterialadder/runtime/settings/settings_definition.js';

/** A program and the definition of its settings file. */
export interface ProgramSettings {
  name: string;
  settings: SettingsDefinition;
}
