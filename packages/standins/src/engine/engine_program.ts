import type {Program} from '@wisterialadder/runtime/program/program.js';
import {ENGINE_SETTINGS} from './engine_settings.js';
import {startEngine} from './start_engine.js';

/** Program `wl-engine`. */
export const ENGINE_PROGRAM: Program<typeof ENGINE_SETTINGS> = {
  name: 'wl-engine',
  help: 'Simulated model engine.',
  settings: ENGINE_SETTINGS,
  start: async run => {
    const server = await startEngine(run.cfg, run);
    return {listen: server.address};
  },
};
