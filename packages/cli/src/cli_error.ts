import type {ExitReason} from './exit_reason.js';

/** Failure of a command, as shown to the operator. */
export interface CliError {
  exit: ExitReason;
  message: string;
  /** File, line, address or option. */
  location: string;
  /** What to do about it. */
  hint: string;
}

/** Formats a failure as the lines written to standard error. */
export function formatCliError({message, location, hint}: CliError): string {
  const prefix = location === '' ? '' : `${location}: `;
  return `wlctl: ${prefix}${message}\n${hint === '' ? '' : `  ${hint}\n`}`;
}
