import type {CliError} from '../cli_error.js';
import type {ExitReason} from '../exit_reason.js';
import type {Report} from '../output/report.js';

/** Output, errors and exit reason of a command. */
export interface CommandResult {
  exit: ExitReason;
  report?: Report;
  errors: CliError[];
}

/** Result of a command that completed. */
export function success(
  report: Report,
  exit: ExitReason = 'ok',
): CommandResult {
  return {exit, report, errors: []};
}

/** Result of a failed command; exits with the reason of the first error. */
export function failure(...errors: CliError[]): CommandResult {
  return {exit: errors[0]?.exit ?? 'failed', errors};
}

/** Result of an invalid command line. */
export function usageError(message: string, hint: string): CommandResult {
  return failure({exit: 'usage', message, location: '', hint});
}
