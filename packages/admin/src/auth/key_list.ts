import type {
  Setting,
  SettingOptions,
} from '@wisterialadder/runtime/settings/setting.js';
import {z} from 'zod';
import type {KeyEntry} from './key_entry.js';

const ENTRY_PATTERN = /^([A-Za-z0-9][A-Za-z0-9._-]{0,63}):([0-9a-f]{64})$/;

/** Setting that lists names of operators and hashes of their keys. */
export function keyList(options: SettingOptions): Setting<KeyEntry[]> {
  const schema = z.string().transform((value, ctx) => {
    const words = value.split(',').map(word => word.trim());
    return words
      .filter(word => word !== '')
      .map(word => {
        const [, name, hash] = ENTRY_PATTERN.exec(word) ?? [];
        if (name !== undefined && hash !== undefined) return {name, hash};
        ctx.addIssue({code: 'custom', message: 'malformed entry'});
        return z.NEVER;
      });
  });
  return {
    schema,
    allowed: 'NAME:SHA256 pairs separated by commas',
    help: options.help,
    unit: '',
    fallback: options.fallback,
  };
}
