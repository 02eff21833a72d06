import type {CliError} from '../cli_error.js';
import type {ExitReason} from '../exit_reason.js';
import type {Report} from '../output/report.js';

/** What a command has to say and how it ended. */
export interface CommandResult {
  exit: ExitReason;
  report?: Report;
  errors: CliError[];
}

/** A command that did what it was asked to. */
export function done(report: Report, exit: ExitReason = 'ok'): CommandResult {
  return {exit, report, errors: []};
}

/** A command that failed; the first error decides the exit status. */
export function failure(...errors: CliError[]): CommandResult {
  return {exit: errors[0]?.exit ?? 'failed', errors};
}

/** A command line that is wrong. */
export function wrongUsage(what: string, hint: string): CommandResult {
  return failure({exit: 'usage', what, where: '', hint});
}
