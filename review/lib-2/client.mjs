/* global Buffer, performance, clearTimeout, setTimeout */
// A client on raw sockets, which sees what arrives and how it ends.
import {connect} from 'node:net';

/** The head of a request; a length is added if there is a body. */
export function requestHead(method, path, id, headers = {}, bodyBytes = 0) {
  const all = {
    Host: 'review.example',
    'Attempt-Id': id,
    'Deadline-Remaining': 10_000,
    Authorization: 'Bearer key-1',
    ...headers,
    ...(bodyBytes > 0 ? {'Content-Length': bodyBytes} : {}),
  };
  const lines = Object.entries(all).map(([k, v]) => `${k}: ${v}\r\n`);
  return `${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n`;
}

export function open(address) {
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port), noDelay: true});
  socket.on('error', () => undefined);
  return socket;
}

/** Sends one request and resolves with its whole answer, or how it ended. */
export function send(address, method, path, id, {headers, body, forMs} = {}) {
  const socket = open(address);
  const bytes = Buffer.from(body ?? '');
  const sentMs = performance.now();
  let received = Buffer.alloc(0);
  socket.write(requestHead(method, path, id, headers, bytes.length));
  if (bytes.length > 0) socket.write(bytes);
  return new Promise(resolve => {
    const finish = ended => {
      clearTimeout(limit);
      socket.destroy();
      resolve({
        ...parseAnswer(received),
        ended,
        ms: performance.now() - sentMs,
      });
    };
    const limit = setTimeout(
      () => finish('no answer in time'),
      forMs ?? 12_000,
    );
    socket.on('data', part => {
      received = Buffer.concat([received, part]);
      if (parseAnswer(received).complete) finish('complete');
    });
    socket.on('close', () => finish('closed'));
  });
}

/** Status, headers and body of an answer, and whether it is complete. */
export function parseAnswer(bytes) {
  const end = bytes.indexOf('\r\n\r\n');
  if (end < 0) return {status: 0, headers: {}, body: '', complete: false};
  const [line, ...lines] = bytes.toString('latin1', 0, end).split('\r\n');
  const headers = Object.fromEntries(
    lines.map(text => {
      const colon = text.indexOf(':');
      return [text.slice(0, colon).toLowerCase(), text.slice(colon + 1).trim()];
    }),
  );
  const body = bytes.subarray(end + 4);
  const status = Number(line.split(' ')[1]);
  const complete =
    headers['transfer-encoding'] === 'chunked'
      ? body.toString('latin1').endsWith('0\r\n\r\n')
      : body.length >= Number(headers['content-length'] ?? Infinity);
  return {status, headers, body: body.toString('latin1'), complete};
}
