import process from 'node:process';

function heapBytes() {
  for (let i = 0; i < 4; i++) globalThis.gc();
  return process.memoryUsage().heapUsed;
}

/** Measures the heap bytes that the result of `build` retains. */
export function heapOf(build) {
  const before = heapBytes();
  const built = build();
  const bytes = heapBytes() - before;
  return {built, bytes};
}

/** CPU time of `run` including garbage collection, in microseconds. */
export function cpuUs(run) {
  const start = process.cpuUsage();
  run();
  const {user, system} = process.cpuUsage(start);
  return user + system;
}
