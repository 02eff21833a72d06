import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {listenEarly} from '../../deploy/listen_early.mjs';
import {startCallerHarness} from '../../packages/gateway/dist/mocks/callers.js';
import {freePort} from '../fleet/free_port.mjs';

const HOST = '127.0.0.1';

const SCRIPT = new URL('../../deploy/listen_early.mjs', import.meta.url);

/** Writes settings to a file, which is removed when the test ends. */
function settingsFile(t, settings) {
  const dir = mkdtempSync(join(tmpdir(), 'wl-early-'));
  t.after(() => rmSync(dir, {recursive: true, force: true}));
  const file = join(dir, 'gateway.ini');
  writeFileSync(file, settings);
  return file;
}

/** Listens early as the start script does with this settings file. */
async function listenWith(t, settings) {
  const file = settingsFile(t, settings);
  process.env.WISTERIALADDER_CONFIG = file;
  await listenEarly();
  delete process.env.WISTERIALADDER_CONFIG;
}

function post(id) {
  return `POST /a HTTP/1.1\r\nhost: x\r\nreq-id: ${id}\r\ncontent-length: 0\r\n\r\n`;
}

test('requests that come before the server is loaded are served by it', async t => {
  const port = await freePort([HOST]);
  const address = `${HOST}:${port}`;
  const settings = `[vm]\nfailure_domain = a\n[caller]\nlisten = ${address}\n`;
  await listenWith(t, settings);
  const early = connect(port, HOST);
  await once(early, 'connect');
  early.write(post('early'));
  const gone = connect(port, HOST);
  await once(gone, 'connect');
  gone.resetAndDestroy();
  await sleep(50);
  const {server, open} = await startCallerHarness({address});
  t.after(() => server.dispose());
  const later = connect(port, HOST);
  later.write(post('later'));
  while (open.size < 2) await sleep(5);
  assert.deepEqual([...open.keys()].sort(), ['early', 'later']);
  for (const {res} of open.values()) res.end('done');
  for (const socket of [early, later]) {
    const [bytes] = await once(socket, 'data');
    assert.match(String(bytes), /^HTTP\/1.1 200 /);
    socket.destroy();
  }
  assert.equal(server.address, address);
});

// SIGHUP in the first 0.3 s ended the process and the connections that waited.
test('signals that come before the program is loaded do not end the process', async t => {
  const port = await freePort([HOST]);
  const file = settingsFile(t, `[caller]\nlisten = ${HOST}:${port}\n`);
  const program = `
    const {listenEarly} = await import('${SCRIPT}');
    await listenEarly();
    setTimeout(() => {
      const stop = Symbol.for('wisterialadder.early_stop') in globalThis;
      process.stdout.write('stop ' + stop, () => process.exit(0));
    }, 300);
    process.stdout.write('listens ');`;
  const args = ['--input-type=module', '--eval', program];
  const env = {...process.env, WISTERIALADDER_CONFIG: file};
  const child = spawn(process.execPath, args, {env});
  t.after(() => child.kill('SIGKILL'));
  let text = '';
  child.stdout.on('data', bytes => (text += bytes));
  await once(child.stdout, 'data');
  child.kill('SIGHUP');
  child.kill('SIGTERM');
  const [code] = await once(child, 'exit');
  assert.equal(code, 0);
  assert.equal(text, 'listens stop true');
});

for (const [what, settings] of [
  ['without an address for callers', '[vm]\nfailure_domain = a\n'],
  ['with an address of another section', '[ops]\nlisten = 127.0.0.1:1\n'],
  ['with an address in use elsewhere', '[caller]\nlisten = 203.0.113.1:9\n'],
]) {
  test(`settings ${what} are left to the program`, async t => {
    await listenWith(t, settings);
    assert.ok(!(Symbol.for('wisterialadder.early_listener') in globalThis));
  });
}

// Connections took all descriptors before the bundle was read from its file.
test('connections that come before the program is loaded leave it descriptors', async t => {
  const port = await freePort([HOST]);
  const file = settingsFile(t, `[caller]\nlisten = ${HOST}:${port}\n`);
  const program = `
    const {readFileSync} = await import('node:fs');
    const {listenEarly} = await import('${SCRIPT}');
    await listenEarly();
    process.stdin.once('data', () => {
      const {length} = readFileSync('${file}');
      process.stdout.write('read ' + length, () => process.exit(0));
    });
    process.stdout.write('listens ');`;
  const args = ['--input-type=module', '--eval', program];
  const limited = 'ulimit -n 100 && exec "$0" "$@"';
  const child = spawn('bash', ['-c', limited, process.execPath, ...args], {
    env: {...process.env, WISTERIALADDER_CONFIG: file},
  });
  t.after(() => child.kill('SIGKILL'));
  let text = '';
  child.stdout.on('data', bytes => (text += bytes));
  await once(child.stdout, 'data');
  const sockets = Array.from({length: 150}, () => connect(port, HOST));
  for (const socket of sockets) socket.on('error', () => undefined);
  t.after(() => sockets.forEach(socket => socket.destroy()));
  await sleep(500);
  child.stdin.write('go');
  const [code] = await once(child, 'exit');
  assert.equal(code, 0);
  assert.match(text, /^listens read \d+$/);
});
