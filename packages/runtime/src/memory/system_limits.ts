import {readFileSync} from 'node:fs';
import {totalmem} from 'node:os';

/** Common default of operating systems. */
const DEFAULT_DESCRIPTORS = 1_024;
const LIMITS_FILE = '/proc/self/limits';
const OPEN_FILES = /^Max open files\s+(\d+)/m;

/** Memory that the operating system grants to the process, in bytes. */
export function systemMemoryBytes(): number {
  const total = totalmem();
  const constrained = process.constrainedMemory();
  return constrained > 0 ? Math.min(total, constrained) : total;
}

/** File descriptors that the operating system grants to the process. */
export function systemDescriptors(): number {
  try {
    const match = OPEN_FILES.exec(readFileSync(LIMITS_FILE, 'utf8'));
    return match ? Number(match[1]) : DEFAULT_DESCRIPTORS;
  } catch {
    // The file exists on Linux only.
    return DEFAULT_DESCRIPTORS;
  }
}
