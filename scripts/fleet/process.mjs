import {spawn} from 'node:child_process';
import {createWriteStream, mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {createInterface} from 'node:readline';

const START_TIMEOUT_MS = 15_000;
const STARTED_EVENT = 'WL9001';
const MAX_KEPT_LINES = 20_000;
/** Lines of output that the error of a failed start quotes. */
const QUOTED_LINES = 3;
const SHIFTED_CLOCK = new URL('shifted_clock.mjs', import.meta.url).href;

/** Writes an object of sections as INI text. */
export function toIni(sections) {
  return Object.entries(sections)
    .map(([name, keys]) => {
      const lines = Object.entries(keys).map(([k, v]) => `${k} = ${v}`);
      return [`[${name}]`, ...lines, ''].join('\n');
    })
    .join('\n');
}

/**
 * Starts a program with settings and resolves once it logs that it has
 * started. `started` holds the fields of that log line, including addresses.
 * `flags` are passed to Node.js, `args` to the program.
 */
export async function startProcess({
  name,
  bin,
  settings,
  dir,
  clockShiftMs = 0,
  flags = [],
  args = [],
}) {
  mkdirSync(dir, {recursive: true});
  const file = join(dir, `${name}.ini`);
  writeFileSync(file, toIni(settings));
  const log = createWriteStream(join(dir, `${name}.log`));
  const clock = clockShiftMs === 0 ? [] : ['--import', SHIFTED_CLOCK];
  const program = [bin, '--config', file, ...args];
  const child = spawn(process.execPath, [...flags, ...clock, ...program], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: {...process.env, WL_CLOCK_SHIFT_MS: `${clockShiftMs}`},
  });
  const exited = new Promise(resolve => {
    child.once('exit', (code, signal) => resolve({code, signal}));
  });
  child.stderr.pipe(log, {end: false});
  const lines = [];
  const started = await waitForStart(name, child, line => {
    log.write(`${line}\n`);
    lines.push(line);
    if (lines.length > MAX_KEPT_LINES) lines.shift();
  });
  return {
    name,
    pid: child.pid,
    started,
    exited,
    /** Fields of the kept log lines with an event number. */
    logged: event =>
      lines
        .filter(line => line.includes(`"${event}"`))
        .map(line => JSON.parse(line).context),
    kill: signal => child.kill(signal),
    running: () => child.exitCode === null && child.signalCode === null,
  };
}

function waitForStart(name, child, onLine) {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      // A leftover process would keep the test runner waiting forever.
      child.kill('SIGKILL');
      reject(new Error(`${name} did not start in time`));
    }, START_TIMEOUT_MS);
    const last = [];
    const keep = text => {
      last.push(String(text));
      if (last.length > QUOTED_LINES) last.shift();
    };
    child.stderr.on('data', keep);
    // `close` follows the last output, which tells why the process exited.
    child.once('close', (code, signal) => {
      clearTimeout(timer);
      const cause = `${code ?? signal}: ${last.join('\n')}`;
      reject(new Error(`${name} ended at start with ${cause}`));
    });
    createInterface({input: child.stdout}).on('line', line => {
      onLine(line);
      keep(line);
      if (!line.includes(STARTED_EVENT)) return;
      clearTimeout(timer);
      resolve(JSON.parse(line).context);
    });
  });
}

/** Runs a program to its end and resolves with its output and exit code. */
export async function runToEnd({name, bin, settings, dir}) {
  const file = join(dir, `${name}.ini`);
  writeFileSync(file, toIni(settings));
  const child = spawn(process.execPath, [bin, '--config', file], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  child.stderr.pipe(createWriteStream(join(dir, `${name}.log`)));
  const chunks = [];
  child.stdout.on('data', chunk => chunks.push(chunk));
  const code = await new Promise(resolve => child.once('close', resolve));
  return {code, stdout: Buffer.concat(chunks).toString('utf8')};
}
