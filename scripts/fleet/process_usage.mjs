// Reads what a process uses from the proc file system.
import {readFileSync, readdirSync} from 'node:fs';
import {clearInterval, setInterval} from 'node:timers';

const SAMPLE_INTERVAL_MS = 50;
const BYTES_PER_KB = 1_024;

/** Largest resident memory of a process so far, in bytes. */
export function peakMemory(pid) {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/^VmHWM:\s+(\d+)/m.exec(status)[1]) * BYTES_PER_KB;
}

/** Open descriptors of a process; 0 if it has ended. */
function descriptors(pid) {
  try {
    return readdirSync(`/proc/${pid}/fd`).length;
  } catch {
    return 0;
  }
}

/** Samples the open descriptors of a process until `stop` is called. */
export function watchDescriptors(pid) {
  let most = 0;
  const timer = setInterval(() => {
    most = Math.max(most, descriptors(pid));
  }, SAMPLE_INTERVAL_MS);
  return {
    stop: () => {
      clearInterval(timer);
      return Math.max(most, descriptors(pid));
    },
  };
}
