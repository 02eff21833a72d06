import type {Program} from '@wisterialadder/runtime/program/program.js';
import {SERVICE_SETTINGS} from './service_settings.js';
import {startService} from './start_service.js';

/** Program `wl-service`. */
export const SERVICE_PROGRAM: Program<typeof SERVICE_SETTINGS> = {
  name: 'wl-service',
  help: 'Simulated plain service.',
  settings: SERVICE_SETTINGS,
  start: async run => {
    const server = await startService(run.cfg, run);
    return {listen: server.address};
  },
};
