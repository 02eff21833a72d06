import {createServer, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';

/** An endpoint that writes arbitrary bytes to its connections. */
export interface RawEndpoint {
  /** `IP:PORT`. */
  address: string;
  /** Raw data of each received request. */
  received: string[];
  /** Number of connections accepted so far. */
  connections(): number;
  close(): Promise<void>;
}

/** Called with each request; writes the answer to its connection. */
export type RawReply = (socket: Socket, request: string) => void;

/** Starts an endpoint on a free port. */
export async function startRawEndpoint(reply: RawReply): Promise<RawEndpoint> {
  const received: string[] = [];
  const sockets = new Set<Socket>();
  let connections = 0;
  const server = createServer(socket => {
    connections += 1;
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.on('data', bytes => {
      const request = bytes.toString('latin1');
      received.push(request);
      reply(socket, request);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    received,
    connections: () => connections,
    close: () =>
      new Promise(resolve => {
        for (const socket of sockets) socket.destroy();
        server.close(() => resolve());
      }),
  };
}
