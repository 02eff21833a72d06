import type {Logger} from './logger.js';

/** Returns a handler that logs an unexpected error with its stack. */
export function logError(logger: Logger): (err: unknown) => void {
  return err => {
    const stack = err instanceof Error ? (err.stack ?? err.message) : '';
    logger.write('WL9004', {error: stack === '' ? String(err) : stack});
  };
}
