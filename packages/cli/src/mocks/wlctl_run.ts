import {Readable} from 'node:stream';
import {runWlctl} from '../wlctl.js';

/** What a command line wrote and its exit status. */
export interface WlctlRun {
  status: number;
  out: string;
  err: string;
}

/** Runs a command line against an API, without standard input. */
export function wlctl(
  env: Record<string, string>,
  ...args: string[]
): Promise<WlctlRun> {
  return wlctlWithInput('', env, ...args);
}

/** Runs a command line that reads a text from standard input. */
export async function wlctlWithInput(
  input: string,
  env: Record<string, string>,
  ...words: string[]
): Promise<WlctlRun> {
  let out = '';
  let err = '';
  const status = await runWlctl({
    args: words,
    env,
    input: Readable.from([input]),
    out: text => (out += text),
    err: text => (err += text),
  });
  return {status, out, err};
}
