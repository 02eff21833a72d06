import {runWlctl} from './wlctl.js';

/** Runs `wlctl` with the arguments and streams of the process. */
export async function main(): Promise<void> {
  process.exitCode = await runWlctl({
    args: process.argv.slice(2),
    env: process.env,
    stdin: process.stdin,
    stdout: text => process.stdout.write(text),
    stderr: text => process.stderr.write(text),
  });
}
