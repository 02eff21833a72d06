import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {beyondGrant, unfinishedHeapBytes} from '../memory/head_bytes.js';
import type {MemoryBudget} from '../memory/memory_budget.js';
import {createPendingBytes} from './pending_bytes.js';
import {createPieceSplitter} from './piece_splitter.js';
import type {ReadTurns} from './read_turns.js';
import {announcedBytes} from './read_body.js';
import {UnparsedBytes} from './unparsed_bytes.js';

/** A connection with more unparsed bytes is not read until some are parsed. */
const MAX_PENDING_BYTES = 65_536;

/** Passes the bytes of a connection on to its parser. */
export interface ConnectionFeed {
  /** The parser has read the head of a request. */
  requestBegun(req: IncomingMessage, res: ServerResponse): void;
  /** The parser has read a part of a body. */
  bodyReceived(bytes: number): void;
}

/** Dependencies of a feed. */
export interface ConnectionFeedParts {
  budget: MemoryBudget;
  turns: ReadTurns;
  /** Called if the connection is closed for lack of memory. */
  onClosed(): void;
}

/** A request whose answer is not complete, or whose body is not. */
interface CurrentRequest {
  req: IncomingMessage;
  /** What is left of an announced body; 0 for chunks. */
  bodyLeft: number;
  answered: boolean;
}

/**
 * Puts a feed between a connection and the parser of its server, which parses
 * one request at a time: Node.js would parse all that a client sends at once,
 * and never says that an answer is closed which waits behind another one.
 */
export function feedConnection(
  socket: Socket,
  {budget, turns, onClosed}: ConnectionFeedParts,
): ConnectionFeed {
  const parse = takeParser(socket);
  const splitter = createPieceSplitter();
  const unparsed = new UnparsedBytes(giveUp);
  const pending = createPendingBytes();
  /** Bytes that the parser keeps: a head, or what surrounds chunks. */
  let keptBytes = 0;
  /** Bytes of a body in the piece that is being parsed. */
  let bodyBytes = 0;
  let current: CurrentRequest | undefined;
  let paused = false;

  function giveUp(): void {
    onClosed();
    socket.destroy();
  }

  function receive(bytes: Buffer): void {
    pending.add(bytes);
    pump();
  }

  /** Parses all that is pending, unless other connections wait as well. */
  function pump(): void {
    while (!turns.isCrowded() && isParseable() && turns.tryTake()) parsePiece();
    settle();
  }

  function takeTurn(): void {
    if (isParseable() && turns.tryTake()) parsePiece();
    settle();
  }

  function settle(): void {
    if (isParseable()) turns.wait(takeTurn);
    // Nothing is answered behind an answer that ends the connection.
    else if (socket.writableEnded && !isReadingBody()) pending.clear();
    setPaused(pending.heldBytes() > MAX_PENDING_BYTES);
    account();
  }

  function isParseable(): boolean {
    if (pending.isEmpty() || socket.destroyed) return false;
    if (current && isReadingBody()) return !isFull(current.req);
    // The server pauses its parser if it begins a request before the drain.
    if (socket.writableEnded || socket.writableNeedDrain) return false;
    return current?.answered ?? true;
  }

  function isReadingBody(): boolean {
    return current !== undefined && !current.req.complete;
  }

  function parsePiece(): void {
    if (current?.req.complete) current = undefined;
    const piece = pending.take(pieceLength);
    // Bytes that wait are no progress, so they are given up first.
    unparsed.moved(piece.length);
    const unreadBytes = current?.req.readableLength ?? 0;
    bodyBytes = 0;
    parse(piece);
    // A body that nobody reads yet has been received as well.
    const addedBytes = (current?.req.readableLength ?? 0) - unreadBytes;
    bodyBytes += Math.max(0, addedBytes);
    if (bodyBytes > 0) keptBytes = Math.max(0, piece.length - bodyBytes);
  }

  function pieceLength(bytes: Buffer): number {
    if (current && current.bodyLeft > 0) {
      const length = Math.min(current.bodyLeft, bytes.length);
      current.bodyLeft -= length;
      splitter.skip();
      return length;
    }
    const length = splitter.next(bytes);
    keptBytes += length;
    return length;
  }

  /** Bytes that stay in the kernel make the client wait. */
  function setPaused(next: boolean): void {
    if (next === paused || socket.destroyed) return;
    // The server has paused a socket whose request is not being read.
    if (!next && current && isFull(current.req)) return;
    paused = next;
    if (next) socket.pause();
    else socket.resume();
  }

  function account(): void {
    const heapBytes = unfinishedHeapBytes(keptBytes);
    const bytes = heapBytes + beyondGrant(pending.heldBytes());
    if (bytes === unparsed.heldBytes || socket.destroyed) return;
    if (bytes === 0) return budget.remove(unparsed);
    if (!budget.resize(unparsed, bytes, heapBytes)) giveUp();
  }

  function requestBegun(req: IncomingMessage, res: ServerResponse): void {
    const request = {req, bodyLeft: announcedBytes(req), answered: false};
    current = request;
    keptBytes = 0;
    res.once('close', () => {
      request.answered = true;
      pump();
    });
  }

  socket.on('data', receive);
  socket.on('drain', pump);
  socket.on('resume', () => {
    paused = false;
    pump();
  });
  socket.once('close', () => {
    turns.cancel(takeTurn);
    budget.remove(unparsed);
    pending.clear();
  });

  return {
    requestBegun,
    bodyReceived: bytes => {
      bodyBytes += bytes;
    },
  };
}

/** Takes the listener away with which the server parses what arrives. */
function takeParser(socket: Socket): (bytes: Buffer) => void {
  const [parse] = socket.listeners('data');
  if (!parse) throw new Error('the server does not parse the connection');
  socket.off('data', parse as (bytes: Buffer) => void);
  return bytes => void parse.call(socket, bytes);
}

/** Whether nobody reads the body, so that it must not grow any further. */
function isFull({
  complete,
  readableLength,
  readableHighWaterMark,
}: IncomingMessage): boolean {
  return !complete && readableLength >= readableHighWaterMark;
}
