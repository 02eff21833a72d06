import type {Socket} from 'node:net';

/** Bytes of one write. */
const WRITE_BYTES = 65_536;

/** Bytes that an endpoint sends without end. */
export interface EndlessReply {
  /** Answers a request: first `start`, then `repeated` again and again. */
  reply(socket: Socket): void;
  /** Bytes that the connection has taken so far. */
  sentBytes(): number;
  /** Resolves when the connection is closed by the other side. */
  closed: Promise<void>;
}

/** Creates a reply that goes on until its connection is closed. */
export function endlessReply(start: string, repeated: string): EndlessReply {
  const count = Math.max(1, Math.floor(WRITE_BYTES / repeated.length));
  const block = Buffer.from(repeated.repeat(count), 'latin1');
  let sentBytes = 0;
  let onClosed = (): void => undefined;
  const closed = new Promise<void>(resolve => {
    onClosed = resolve;
  });

  function reply(socket: Socket): void {
    const send = (): void => {
      while (!socket.destroyed) {
        sentBytes += block.length;
        if (!socket.write(block)) return;
      }
    };
    socket.on('drain', send);
    socket.on('close', onClosed);
    sentBytes += start.length;
    socket.write(start, 'latin1');
    send();
  }

  return {reply, sentBytes: () => sentBytes, closed};
}
