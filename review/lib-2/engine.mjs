/* global Buffer, setInterval, clearInterval */
// A stand-in for an engine or a plain service, on raw sockets.
import {createServer} from 'node:net';

const HEARTBEAT_MS = 1_200;

/** Splits the bytes of a connection into requests with complete bodies. */
function createReader() {
  let pending = Buffer.alloc(0);

  function next() {
    while (pending[0] === 0x0d && pending[1] === 0x0a) {
      pending = pending.subarray(2);
    }
    const end = pending.indexOf('\r\n\r\n');
    if (end < 0) return undefined;
    const [line, ...lines] = pending.toString('latin1', 0, end).split('\r\n');
    const headers = {};
    for (const text of lines) {
      const colon = text.indexOf(':');
      headers[text.slice(0, colon).toLowerCase()] = text
        .slice(colon + 1)
        .trim();
    }
    const bodyEnd = end + 4 + Number(headers['content-length'] ?? 0);
    if (pending.length < bodyEnd) return undefined;
    const body = pending.subarray(end + 4, bodyEnd);
    pending = pending.subarray(bodyEnd);
    const [method, path] = line.split(' ');
    return {method, path, headers, body};
  }

  return bytes => {
    pending = Buffer.concat([pending, bytes]);
    const requests = [];
    for (let req = next(); req; req = next()) requests.push(req);
    return requests;
  };
}

/**
 * Starts an engine that registers itself. `onRequest` gets each request that
 * names this engine, with the socket and the number of the request on it; any
 * other gets 421.
 */
export async function startEngine({store, ip, id, service, slots, onRequest}) {
  const sockets = new Set();
  const born = Date.now();
  let sequence = 0;
  const server = createServer(socket => {
    const read = createReader();
    let served = 0;
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.on('data', bytes => {
      for (const req of read(bytes)) {
        served += 1;
        const attempt = req.headers['attempt-id'] ?? '';
        if (req.headers['expected-instance'] !== id) {
          socket.write(answer(421, attempt, {'Not-Executed': '1'}));
        } else onRequest({...req, attempt}, socket, served);
      }
    });
  });
  await new Promise(resolve => server.listen(0, ip, resolve));
  const address = `${ip}:${server.address().port}`;

  function beat() {
    sequence += 1;
    store.put('keyed.servers', id, {
      service,
      address,
      zone: 'zone-a',
      version: 'v1',
      slots,
      state: 'ready',
      coldRemainingMs: 0,
      sequence,
      born,
    });
  }

  beat();
  const timer = setInterval(beat, HEARTBEAT_MS);
  return {
    id,
    address,
    close: () => {
      clearInterval(timer);
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** A whole answer with a length. */
export function answer(status, attempt, headers = {}, body = '') {
  const bytes = Buffer.from(body);
  const lines = Object.entries(headers).map(([k, v]) => `${k}: ${v}\r\n`);
  const head =
    `HTTP/1.1 ${status} X\r\nAttempt-Id: ${attempt}\r\n${lines.join('')}` +
    `Content-Length: ${bytes.length}\r\n\r\n`;
  return Buffer.concat([Buffer.from(head), bytes]);
}
