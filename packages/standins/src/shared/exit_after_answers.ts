import type {StandinRun} from './standin_run.js';

/** Time for the last answers to leave the process. */
const FLUSH_MS = 200;

/** Ends the process once the last answers are sent; harmless if repeated. */
export function exitAfterAnswers(run: StandinRun): () => void {
  let exiting = false;
  return () => {
    if (exiting) return;
    exiting = true;
    setTimeout(() => run.exit(0), FLUSH_MS);
  };
}
