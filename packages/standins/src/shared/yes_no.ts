import {choice} from '@wisterialadder/runtime/settings/setting_kinds.js';
import type {
  Setting,
  SettingOptions,
} from '@wisterialadder/runtime/settings/setting.js';

/** Boolean setting, written `yes` or `no`. */
export function yesNo(options: SettingOptions): Setting<'yes' | 'no'> {
  return choice(['yes', 'no'], options);
}
