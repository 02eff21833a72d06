import type {CliError} from '../cli_error.js';

/** The error of a call that the operations port did not answer. */
export function unreachableGateway(location: string, err: unknown): CliError {
  return {
    exit: 'unreachable',
    message: `no answer (${(err as Error).message})`,
    location,
    hint: 'Give the address of [ops] listen and check that wl-gateway runs.',
  };
}
