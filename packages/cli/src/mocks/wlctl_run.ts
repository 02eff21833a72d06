import {Readable} from 'node:stream';
import {runWlctl} from '../wlctl.js';

/** Output and exit status of a run. */
export interface WlctlRun {
  status: number;
  stdout: string;
  stderr: string;
}

/** Runs a command line with empty standard input. */
export function wlctl(
  env: Record<string, string>,
  ...args: string[]
): Promise<WlctlRun> {
  return wlctlWithStdin('', env, ...args);
}

/** Runs a command line with a text as standard input. */
export async function wlctlWithStdin(
  input: string,
  env: Record<string, string>,
  ...args: string[]
): Promise<WlctlRun> {
  let stdout = '';
  let stderr = '';
  const status = await runWlctl({
    args,
    env,
    stdin: Readable.from([input]),
    stdout: text => (stdout += text),
    stderr: text => (stderr += text),
  });
  return {status, stdout, stderr};
}
