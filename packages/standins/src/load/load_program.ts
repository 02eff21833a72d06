import type {
  Program,
  ProgramContext,
} from '@wisterialadder/runtime/program/program.js';
import {LOAD_SETTINGS} from './load_settings.js';
import {readMix} from './mix/read_mix.js';
import {createReportFormat} from './report/create_report_format.js';
import {startLoad} from './start_load.js';

const EXIT_USAGE = 2;

/** Program `wl-load`. */
export const LOAD_PROGRAM: Program<typeof LOAD_SETTINGS> = {
  name: 'wl-load',
  help: 'Load generator; checks each answer and prints a report.\n--json prints one JSON object.',
  settings: LOAD_SETTINGS,
  start: async run => {
    try {
      await runLoad(run);
    } catch (err) {
      process.stderr.write(`wl-load: ${(err as Error).message}\n`);
      run.exit(EXIT_USAGE);
    }
    return undefined;
  },
};

async function runLoad(
  run: ProgramContext<typeof LOAD_SETTINGS>,
): Promise<void> {
  const {load} = run.cfg;
  if (load.routers.length === 0) throw new Error('no routers are named');
  const json = process.argv.includes('--json');
  const format = createReportFormat(json ? 'json' : load.report);
  const result = await startLoad(run.cfg, readMix(load.mix), run);
  if (result) process.stdout.write(format.format(result));
  run.exit(result ? 0 : 1);
}
