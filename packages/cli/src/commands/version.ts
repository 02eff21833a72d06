import {VERSION} from '@wisterialadder/runtime/program/version.js';
import type {Command} from './command.js';
import {done} from './command_result.js';

/** Prints the version. */
export const VERSION_COMMAND: Command = {
  usage: 'version',
  help: 'Print the version',
  options: [],
  examples: ['version --json'],
  run: () =>
    Promise.resolve(
      done({
        columns: [],
        rows: [],
        notes: [`wlctl ${VERSION}`],
        json: {version: VERSION},
      }),
    ),
};
