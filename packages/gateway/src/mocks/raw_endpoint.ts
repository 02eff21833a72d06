import {createServer, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';

/** An endpoint that answers with bytes of the test's choice. */
export interface RawEndpoint {
  /** `IP:PORT`. */
  address: string;
  /** Requests as they arrived, heads and bodies. */
  received: string[];
  connections(): number;
  close(): Promise<void>;
}

/** Writes what a test wants to a connection on which a request has arrived. */
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
