// Listens for callers before the bundle is loaded: after all gateways were down
// at once, connections wait for a moment instead of being refused.
import {readFileSync} from 'node:fs';
import {createServer} from 'node:net';
import process from 'node:process';

const EARLY_LISTENER = Symbol.for('wisterialadder.early_listener');
const EARLY_STOP = Symbol.for('wisterialadder.early_stop');
const CALLER_ADDRESS = /^\[caller\]\s*^(?:(?!\[).*\n)*?listen *= *(\S+):(\d+)/m;
const DESCRIPTORS =
  /^\[connections\]\s*^(?:(?!\[).*\n)*?descriptors *= *(\d+)/m;
const OPEN_FILES = /^Max open files\s+(\d+)/m;
/** Common default of operating systems. */
const DEFAULT_DESCRIPTORS = 1_024;
/** As in the program; the rest is for its files and other connections. */
const CALLER_SHARE = 0.75;
/** With these the program ends without serving. */
const OTHER_USES = ['--check', '--help', '-h', '--version', '-v'];

function settingsFile() {
  const {argv, env} = process;
  if (OTHER_USES.some(flag => argv.includes(flag))) return undefined;
  const option = argv.indexOf('--config');
  return option < 0 ? env.WISTERIALADDER_CONFIG : argv[option + 1];
}

/** Text of a file; empty if it cannot be read. */
function readText(file) {
  try {
    return readFileSync(file, 'utf8');
  } catch {
    return '';
  }
}

/** Address in the settings; undefined if the program will report a fault. */
function callerAddress(settings) {
  const match = CALLER_ADDRESS.exec(settings);
  return match ? {host: match[1], port: Number(match[2])} : undefined;
}

/** Connections that leave the program descriptors to load its files. */
function maxConnections(settings) {
  const stated = Number(DESCRIPTORS.exec(settings)?.[1]);
  const system = OPEN_FILES.exec(readText('/proc/self/limits'))?.[1];
  const descriptors = stated || Number(system ?? DEFAULT_DESCRIPTORS);
  return Math.max(1, Math.floor(descriptors * CALLER_SHARE));
}

/**
 * Catches signals until the program does, which would end the process. The
 * settings are read later than any SIGHUP that comes before.
 */
function catchSignals() {
  process.on('SIGHUP', () => undefined);
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.once(signal, () => (globalThis[EARLY_STOP] = true));
  }
}

/** Resolves when it listens, or cannot: then the program says why. */
export async function listenEarly() {
  const file = settingsFile();
  const settings = file ? readText(file) : '';
  const address = callerAddress(settings);
  if (!address) return;
  catchSignals();
  const {host, port} = address;
  const sockets = [];
  const server = createServer(
    {allowHalfOpen: true, keepAlive: true, noDelay: true, pauseOnConnect: true},
    socket => {
      socket.on('error', () => undefined);
      sockets.push(socket);
    },
  );
  server.maxConnections = maxConnections(settings);
  const listening = await new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, host, () => resolve(true));
  });
  if (!listening) return;
  globalThis[EARLY_LISTENER] = {address: `${host}:${port}`, server, sockets};
}
