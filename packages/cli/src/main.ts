import {runWlctl} from './wlctl.js';

/** Runs the process's command line. */
export async function main(): Promise<void> {
  process.exitCode = await runWlctl({
    args: process.argv.slice(2),
    env: process.env,
    input: process.stdin,
    out: text => process.stdout.write(text),
    err: text => process.stderr.write(text),
  });
}
