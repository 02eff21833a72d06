import type {PeerMessage} from '@wisterialadder/core/fleet/messages/peer_message.js';
import type {SendPeers} from '@wisterialadder/core/gateway/actions/send_peers.js';
import {hash32} from '@wisterialadder/core/shared/hash32.js';
import {isAddress} from '@wisterialadder/runtime/http/is_address.js';
import type {Disposable} from '@wisterialadder/runtime/lifecycle/disposable.js';
import {startPeerTransport} from '@wisterialadder/runtime/peers/peer_transport.js';
import {decodeDatagram} from './decode_datagram.js';
import {encodeDatagram} from './encode_datagram.js';
import {decodeCall} from './decode_call.js';
import {openDatagramSocket} from './datagram_socket.js';

/** Sends and receives messages between gateways. */
export interface PeerLink extends Disposable {
  /** Listening address, `IP:PORT`, of both datagrams and calls. */
  readonly address: string;
  send(action: SendPeers): void;
}

/** Dependencies of a peer link. */
export interface PeerLinkParts {
  address: string;
  secret: string;
  incarnation: number;
  onMessage(from: string, incarnation: number, message: PeerMessage): void;
  onError(err: unknown): void;
}

/**
 * Opens the link. Small and frequent messages go by datagram, state pulls and
 * copies by call. Rejects if the address cannot be bound.
 */
export async function openPeerLink(parts: PeerLinkParts): Promise<PeerLink> {
  const {secret, incarnation} = parts;
  const fleet = hash32(secret);
  const transport = await startPeerTransport<PeerMessage>({
    address: parts.address,
    secret,
    incarnation,
    onMessage: (from, fromIncarnation, call) => {
      const message = decodeCall(call);
      if (message && isAddress(from)) {
        parts.onMessage(from, fromIncarnation, message);
      } else parts.onError(new Error(`malformed call of ${from}`));
    },
  });
  const socket = await openDatagramSocket(
    transport.address,
    (from, bytes) => {
      const datagram = decodeDatagram(bytes);
      if (!datagram || datagram.fleet !== fleet) return;
      parts.onMessage(from, datagram.incarnation, datagram.message);
    },
    parts.onError,
  );

  function send({to, message}: SendPeers): void {
    switch (message.kind) {
      case 'state_pull':
      case 'state_copy':
        return sendEach(to, address => transport.send(address, message));
      default: {
        const bytes = encodeDatagram(fleet, incarnation, message);
        return sendEach(to, address => socket.send(address, bytes));
      }
    }
  }

  /** An address that cannot be sent to does not keep others from it. */
  function sendEach(
    to: readonly string[],
    sendTo: (address: string) => void,
  ): void {
    for (const address of to) {
      try {
        sendTo(address);
      } catch (err) {
        parts.onError(err);
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
