import {ADMIN_SETTINGS} from '@wisterialadder/admin/settings.js';
import {GATEWAY_SETTINGS} from '@wisterialadder/gateway/settings.js';
import {PLACER_SETTINGS} from '@wisterialadder/placer/settings.js';
import {ROUTER_SETTINGS} from '@wisterialadder/router/settings.js';
import type {ProgramSettings} from './program_settings.js';

/** Every program with a settings file, in the order of the settings page. */
export const PROGRAMS: ProgramSettings[] = [
  {name: 'wl-router', settings: ROUTER_SETTINGS},
  {name: 'wl-placer', settings: PLACER_SETTINGS},
  {name: 'wl-admin', settings: ADMIN_SETTINGS},
  {name: 'wl-gateway', settings: GATEWAY_SETTINGS},
];
