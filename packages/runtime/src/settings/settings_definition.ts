import type {Setting} from './setting.js';

/** Sections and keys of a program's settings file. */
export type SettingsDefinition = Record<
  string,
  Record<string, Setting<unknown>>
>;

/** Validated values of a definition, by section and key. */
export type SettingsOf<D extends SettingsDefinition> = {
  [S in keyof D]: {
    [K in keyof D[S]]: D[S][K] extends Setting<infer T> ? T : never;
  };
};
