import type {Program} from '@wisterialadder/runtime/program/program.js';
import {PLATFORM_SETTINGS} from './platform_settings.js';
import {startPlatform} from './start_platform.js';

/** Program `wl-platform`. */
export const PLATFORM_PROGRAM: Program<typeof PLATFORM_SETTINGS> = {
  name: 'wl-platform',
  help: 'Simulated platform: log, VM list and weight store.',
  settings: PLATFORM_SETTINGS,
  start: async run => {
    const server = await startPlatform(run.cfg, run);
    return {listen: server.address};
  },
};
