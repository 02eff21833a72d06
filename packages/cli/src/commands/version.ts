import {VERSION} from '@wisterialadder/runtime/program/version.js';
import type {Command} from './command.js';
import {success} from './command_result.js';

/** Prints the version. */
export const VERSION_COMMAND: Command = {
  usage: 'version',
  help: 'Print the version',
  options: [],
  examples: ['version --json'],
  run: () =>
    Promise.resolve(
      success({
        columns: [],
        rows: [],
        notes: [`wlctl ${VERSION}`],
        json: {version: VERSION},
      }),
    ),
};
