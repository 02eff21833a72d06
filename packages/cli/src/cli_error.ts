import type {ExitReason} from './exit_reason.js';

/** Failure of a command, for the person who typed it. */
export interface CliError {
  exit: ExitReason;
  what: string;
  /** File, line, address or option. */
  where: string;
  /** What to do about it. */
  hint: string;
}

/** Formats a failure as the lines written to standard error. */
export function formatCliError({what, where, hint}: CliError): string {
  const place = where === '' ? '' : `${where}: `;
  return `wlctl: ${place}${what}\n${hint === '' ? '' : `  ${hint}\n`}`;
}
