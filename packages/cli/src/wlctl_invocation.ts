import type {Readable} from 'node:stream';

/** Arguments, environment and standard streams of one run of `wlctl`. */
export interface WlctlInvocation {
  /** Arguments after the program name. */
  args: string[];
  env: Record<string, string | undefined>;
  stdin: Readable;
  stdout(text: string): void;
  stderr(text: string): void;
}
