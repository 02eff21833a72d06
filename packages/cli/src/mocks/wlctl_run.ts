import {runWlctl} from '../wlctl.js';

/** What a command line wrote and its exit status. */
export interface WlctlRun {
  status: number;
  out: string;
  err: string;
}

/** Runs a command line against an API. */
export async function wlctl(
  env: Record<string, string>,
  ...words: string[]
): Promise<WlctlRun> {
  let out = '';
  let err = '';
  const status = await runWlctl({
    words,
    env,
    out: text => (out += text),
    err: text => (err += text),
  });
  return {status, out, err};
}
