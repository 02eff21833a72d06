// Clients that keep to no limit, for tests with real processes.
import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** A client whose bytes are not taken for this long stops sending. */
const BLOCKED_MS = 3_000;
const ANSWER_MS = 2_000;
/** Before an answer that has to be made. */
const LEAVE_MS = 500;
const WRITE_BYTES = 65_536;
const X = Buffer.alloc(WRITE_BYTES, 'x');
const HEAD =
  'POST /read/1 HTTP/1.1\r\nHost: llm.example\r\n' +
  'Authorization: Bearer key-1\r\nDeadline-Remaining: 60000\r\n';

/** Sends bytes as fast as they are taken; false if they no longer are. */
async function send(socket, bytes) {
  if (socket.destroyed) return false;
  if (socket.write(bytes)) return true;
  const drained = once(socket, 'drain').then(
    () => true,
    () => false,
  );
  const closed = once(socket, 'close').then(() => false);
  const blocked = sleep(BLOCKED_MS, false, {ref: false});
  return Promise.race([drained, closed, blocked]);
}

async function sendTimes(socket, bytes, times) {
  for (let i = 0; i < times; i++) {
    if (!(await send(socket, bytes))) return;
  }
}

function chunk(bytes) {
  const size = Buffer.from(`${bytes.length.toString(16)}\r\n`);
  return Buffer.concat([size, bytes, Buffer.from('\r\n')]);
}

const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

/** Sends a body in large chunks and stops short of its end. */
export async function stopShort(socket, bodyBytes) {
  await send(socket, CHUNKED);
  await sendTimes(socket, chunk(X), Math.floor(bodyBytes / WRITE_BYTES));
}

/** Sends a body in chunks of one byte and stops short of its end. */
export async function sendSingleBytes(socket, bodyBytes) {
  const perWrite = 1_000;
  const single = Buffer.from('1\r\nx\r\n'.repeat(perWrite));
  await send(socket, CHUNKED);
  await sendTimes(socket, single, Math.floor(bodyBytes / perWrite));
}

/** Announces a body far over the limit and sends a part of it. */
export async function announceTooMuch(socket, sentBytes) {
  await send(socket, `${HEAD}Content-Length: 10000000000\r\n\r\n`);
  await sendTimes(socket, X, Math.floor(sentBytes / WRITE_BYTES));
}

/** Sends a head without end in pieces, then stops. */
export async function sendEndlessHead(socket, headBytes) {
  await send(socket, HEAD);
  const line = Buffer.from(`x-more: ${'y'.repeat(1_000)}\r\n`);
  await sendTimes(socket, line, Math.floor(headBytes / line.length));
}

/** Sends nothing. */
export async function staySilent() {}

/** Asks for an answer, waits until it may have come, and reads nothing. */
export async function readNothing(socket, index) {
  socket.pause();
  const id = `Attempt-Id: slow-${index}\r\n`;
  await send(socket, `${HEAD}${id}Content-Length: 0\r\n\r\n`);
  await sleep(ANSWER_MS);
}

/** Sends a complete request with a body; resolves with its status. */
export function postBody(address, bodyBytes) {
  const id = 'Attempt-Id: large\r\nConnection: close\r\n';
  const head = `${HEAD}${id}Content-Length: ${bodyBytes}\r\n\r\n`;
  return ask(address, [head, Buffer.alloc(bodyBytes, 'x')]);
}

/** Connects clients that each play their part; they stay until `leave`. */
export async function startCrowd(address, parts) {
  const [host, port] = address.split(':');
  const sockets = [];
  const played = parts.map(async (play, index) => {
    const socket = connect({host, port: Number(port)});
    sockets.push(socket);
    socket.on('error', () => undefined);
    // Unread answers of those that only send would block the gateway.
    socket.resume();
    const connected = once(socket, 'connect').catch(() => undefined);
    await Promise.race([connected, sleep(BLOCKED_MS, undefined, {ref: false})]);
    await play(socket, index);
  });
  await Promise.all(played);
  return {
    leave: () => sockets.forEach(socket => socket.destroy()),
  };
}

/** Bytes of `count` reads, each with an id of its own. */
function reads(index, count) {
  const head = HEAD.replace('POST', 'GET');
  return Array.from(
    {length: count},
    (_, i) => `${head}Attempt-Id: read-${index}-${i}\r\n\r\n`,
  ).join('');
}

/** Sends reads at once on one connection and reads no answer. */
export async function pipelineUnread(socket, index, count) {
  socket.pause();
  await send(socket, reads(index, count));
  await sleep(ANSWER_MS);
}

/** Sends reads at once on one connection and reads the answers. */
export async function pipelineRead(socket, index, count) {
  await send(socket, reads(index, count));
  await sleep(ANSWER_MS);
}

/** Sends reads at once on one connection, reads nothing and soon leaves. */
export async function pipelineAndLeave(socket, index, count) {
  socket.pause();
  await send(socket, reads(index, count));
  await sleep(LEAVE_MS);
  socket.destroy();
  await sleep(ANSWER_MS);
}

/** Sends a body behind a read and leaves before the answer to the read. */
export async function leaveBehindBody(socket, index, bodyBytes) {
  await send(socket, reads(index, 1));
  const id = `Attempt-Id: behind-${index}\r\n`;
  await send(socket, `${HEAD}${id}Content-Length: ${bodyBytes}\r\n\r\n`);
  await send(socket, Buffer.alloc(bodyBytes, 'x'));
  await sleep(LEAVE_MS);
  socket.destroy();
}

/** Header lines of the length that takes most memory for its bytes. */
function shortLines(bytes) {
  const line = i => `z${(i % 36).toString(36)}:12\r\n`;
  const count = Math.floor(bytes / line(0).length);
  return Array.from({length: count}, (_, i) => line(i)).join('');
}

/** Sends a head of short lines and one byte of the body that it announces. */
export async function stopBehindShortLines(socket, headBytes) {
  const lines = shortLines(headBytes - HEAD.length);
  await send(socket, `${HEAD}${lines}Content-Length: 1000\r\n\r\nx`);
}

/** Sends short header lines and not the end of the head. */
export async function stopInShortLines(socket, headBytes) {
  await send(socket, HEAD + shortLines(headBytes - HEAD.length));
}

/** Sends short lines behind the last chunk of a body, and not their end. */
export async function stopInTrailers(socket, trailerBytes) {
  const body = '1\r\nx\r\n0\r\n';
  await send(socket, CHUNKED + body + shortLines(trailerBytes));
}

/** Asks for a page of the operations port many times and reads nothing. */
export async function pipelinePage(socket, path, count) {
  socket.pause();
  await send(socket, `GET ${path} HTTP/1.1\r\nHost: x\r\n\r\n`.repeat(count));
  await sleep(ANSWER_MS);
}

/** Sends bytes on a new connection; resolves with the first part of the answer. */
async function ask(address, parts) {
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port)});
  for (const part of parts) await send(socket, part);
  const [answer] = await once(socket, 'data');
  socket.destroy();
  return Number(/^HTTP\/1.1 (\d+) /.exec(String(answer))?.[1]);
}

/** Sends a complete body in chunks of one byte; resolves with its status. */
export function postSingleBytes(address, bodyBytes) {
  const perWrite = 10_000;
  const single = Buffer.from('1\r\nx\r\n'.repeat(perWrite));
  const writes = Array(Math.floor(bodyBytes / perWrite)).fill(single);
  return ask(address, [CHUNKED, ...writes, '0\r\n\r\n']);
}

/** Sends a request with short header lines; resolves with its status. */
export function postShortLines(address, headBytes) {
  const end = 'Content-Length: 0\r\n\r\n';
  const lines = shortLines(headBytes - HEAD.length - end.length - 32);
  return ask(address, [HEAD + lines + end]);
}

/** Sends `count` reads at once; resolves with the statuses in their order. */
export async function readPipelined(address, count) {
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port)});
  let text = '';
  socket.on('data', bytes => (text += bytes.toString('latin1')));
  const statuses = () =>
    [...text.matchAll(/HTTP\/1.1 (\d+) /g)].map(match => Number(match[1]));
  socket.write(reads('calm', count));
  while (statuses().length < count && !socket.destroyed) await sleep(10);
  socket.destroy();
  return statuses();
}
