import {readFileSync} from 'node:fs';
import {cpus} from 'node:os';

const SAMPLE_INTERVAL_MS = 1_000;
/** Clock ticks per second of /proc/PID/stat on Linux. */
const TICKS_PER_SECOND = 100;

/**
 * Samples the CPU use of the machine and of processes.
 * @return stops sampling and returns the peaks
 */
export function sampleUsage(processes) {
  const peaks = {machine: 0};
  let before = read();
  let timer = setTimeout(sample, SAMPLE_INTERVAL_MS);

  function read() {
    const total = {busy: 0, all: 0};
    for (const {times} of cpus()) {
      const all = Object.values(times).reduce((a, b) => a + b, 0);
      total.all += all;
      total.busy += all - times.idle;
    }
    return {total, atMs: performance.now(), seconds: processes.map(secondsOf)};
  }

  function sample() {
    const now = read();
    const all = Math.max(1, now.total.all - before.total.all);
    const busy = (now.total.busy - before.total.busy) / all;
    peaks.machine = Math.max(peaks.machine, busy);
    const elapsed = (now.atMs - before.atMs) / 1_000;
    processes.forEach(({kind}, i) => {
      const cores = (now.seconds[i] - before.seconds[i]) / elapsed;
      peaks[kind] = Math.max(peaks[kind] ?? 0, cores);
    });
    before = now;
    timer = setTimeout(sample, SAMPLE_INTERVAL_MS);
  }

  return () => {
    clearTimeout(timer);
    return peaks;
  };
}

function secondsOf({pid}) {
  try {
    const fields = readFileSync(`/proc/${pid}/stat`, 'utf8')
      .replace(/^.*\) /, '')
      .split(' ');
    return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
  } catch {
    return 0;
  }
}

/** Sums CPU seconds and peer bytes; a sum without a metric is undefined. */
export async function readMetrics(routers) {
  const texts = await Promise.all(
    routers.map(async ({ops}) => (await fetch(`http://${ops}/metrics`)).text()),
  );
  const sum = pattern => {
    const found = texts.flatMap(text => [...text.matchAll(pattern)]);
    return found.length === 0
      ? undefined
      : found.reduce((total, [, value]) => total + Number(value), 0);
  };
  return {
    cpuSeconds: sum(/^process_cpu_seconds_total(?:\{.*\})? (\S+)/gm),
    peerBytes: sum(/^wl_peer\w*bytes\w*(?:\{.*\})? (\S+)/gm),
  };
}
