import process from 'node:process';

function heapBytes() {
  for (let i = 0; i < 4; i++) globalThis.gc();
  return process.memoryUsage().heapUsed;
}

/** Heap bytes kept by what `build` returns. */
export function heapOf(build) {
  const before = heapBytes();
  const built = build();
  const bytes = heapBytes() - before;
  return {built, bytes};
}

/** CPU time of the process, garbage collection included, in microseconds. */
export function cpuUs(run) {
  const start = process.cpuUsage();
  run();
  const {user, system} = process.cpuUsage(start);
  return user + system;
}
