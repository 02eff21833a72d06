import {ROARR} from 'roarr';
import {createLogWriter, fileParts} from './log_writer.js';

const STANDARD_OUTPUT = 1;
const STANDARD_ERROR = 2;

/** Writer of this process's log lines. */
export const PROCESS_LOG = createLogWriter(
  fileParts(
    process.env['ROARR_STREAM'] === 'STDERR' ? STANDARD_ERROR : STANDARD_OUTPUT,
  ),
);

// roarr's own writer blocks while the reader of a pipe is slow.
ROARR.write = line => PROCESS_LOG.push(line);

process.on('exit', () => PROCESS_LOG.flushNow());
