import {createSocket} from 'node:dgram';
import {splitAddress} from '@wisterialadder/runtime/http/http_server.js';
import type {Disposable} from '@wisterialadder/runtime/lifecycle/disposable.js';

/** Sends and receives datagrams. */
export interface DatagramSocket extends Disposable {
  /** Listening address, `IP:PORT`. */
  readonly address: string;
  /** Sends without waiting; the datagram may be lost. */
  send(to: string, bytes: Uint8Array): void;
}

/** Binds a UDP socket; rejects if the address cannot be bound. */
export async function openDatagramSocket(
  address: string,
  onDatagram: (from: string, bytes: Uint8Array) => void,
  onError: (err: unknown) => void,
): Promise<DatagramSocket> {
  // Addresses are numeric; the default lookup costs a turn of the event loop.
  const socket = createSocket({
    type: 'udp4',
    lookup: (host, _options, found) => found(null, host, 4),
  });
  const {host, port} = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(port, host, resolve);
  });
  socket.removeAllListeners('error');
  socket.on('error', onError);
  socket.on('message', (bytes, remote) =>
    onDatagram(`${remote.address}:${remote.port}`, bytes),
  );

  return {
    address: `${host}:${socket.address().port}`,
    send: (to, bytes) => {
      const target = splitAddress(to);
      // A send error counts as a lost datagram.
      socket.send(bytes, target.port, target.host, () => undefined);
    },
    dispose: () => new Promise(resolve => socket.close(() => resolve())),
  };
}
