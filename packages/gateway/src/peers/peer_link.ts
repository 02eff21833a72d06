import type {PeerMessage} from '@wisterialadder/core/fleet/messages/peer_message.js';
import type {SendPeers} from '@wisterialadder/core/gateway/actions/send_peers.js';
import {hash32} from '@wisterialadder/core/shared/hash32.js';
import type {Disposable} from '@wisterialadder/runtime/lifecycle/disposable.js';
import {startPeerTransport} from '@wisterialadder/runtime/peers/peer_transport.js';
import {decodeDatagram, encodeDatagram} from './datagram_codec.js';
import {openDatagramSocket} from './datagram_socket.js';

/** Messages between gateways. */
export interface PeerLink extends Disposable {
  /** Address it listens on, `IP:PORT`, for datagrams and calls alike. */
  readonly address: string;
  send(action: SendPeers): void;
}

/** What the link needs of its process. */
export interface PeerLinkParts {
  address: string;
  secret: string;
  incarnation: number;
  received(from: string, incarnation: number, message: PeerMessage): void;
  onError(err: unknown): void;
}

/**
 * Opens the link: datagrams for what is small and frequent, calls for copies
 * of the configuration. Rejects if the address cannot be bound.
 */
export async function openPeerLink(parts: PeerLinkParts): Promise<PeerLink> {
  const {secret, incarnation} = parts;
  const fleet = hash32(secret);
  const transport = await startPeerTransport<PeerMessage>({
    address: parts.address,
    secret,
    incarnation,
    onMessage: parts.received,
  });
  const socket = await openDatagramSocket(
    transport.address,
    (from, bytes) => {
      const datagram = decodeDatagram(bytes);
      if (!datagram || datagram.fleet !== fleet) return;
      parts.received(from, datagram.incarnation, datagram.message);
    },
    parts.onError,
  );

  function send({to, message}: SendPeers): void {
    switch (message.kind) {
      case 'state_pull':
      case 'state_copy':
        for (const address of to) transport.send(address, message);
        return;
      default: {
        const bytes = encodeDatagram(fleet, incarnation, message);
        for (const address of to) socket.send(address, bytes);
      }
    }
  }

  return {
    address: transport.address,
    send,
    dispose: async () => {
      await socket.dispose();
      await transport.dispose();
    },
  };
}
