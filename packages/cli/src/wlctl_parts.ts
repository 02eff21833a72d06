import type {Readable} from 'node:stream';

/** What the process gives to a run. */
export interface WlctlParts {
  /** Words after the program name. */
  args: string[];
  env: Record<string, string | undefined>;
  /** Standard input. */
  input: Readable;
  out(text: string): void;
  err(text: string): void;
}
