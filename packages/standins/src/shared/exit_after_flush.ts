import type {StandinRun} from './standin_run.js';

/** Time allowed for the last responses to be written to their sockets. */
const FLUSH_DELAY_MS = 200;

/** Returns a function that flushes responses and exits; idempotent. */
export function exitAfterFlush(run: StandinRun): () => void {
  let exiting = false;
  return () => {
    if (exiting) return;
    exiting = true;
    setTimeout(() => run.exit(0), FLUSH_DELAY_MS);
  };
}
