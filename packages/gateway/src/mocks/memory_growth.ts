import {setTimeout as sleep} from 'node:timers/promises';

const SAMPLE_INTERVAL_MS = 20;

/** Largest growth of this process' memory until `done` settles, in bytes. */
export async function peakGrowth(done: Promise<unknown>): Promise<number> {
  const before = usedBytes();
  let peak = before;
  let settled = false;
  void done.finally(() => (settled = true));
  while (!settled) {
    peak = Math.max(peak, usedBytes());
    await sleep(SAMPLE_INTERVAL_MS);
  }
  return peak - before;
}

function usedBytes(): number {
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}
