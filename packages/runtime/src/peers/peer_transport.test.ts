import assert from 'node:assert/strict';
import {once, EventEmitter} from 'node:events';
import {test} from 'node:test';
import type {PeerMessage} from '@wisterialadder/core/router/messages/peer_message.js';
import {startPeerTransport, type PeerTransport} from './peer_transport.js';

const MESSAGE: PeerMessage = {kind: 'table_pull', next: 7};

interface Receiver {
  transport: PeerTransport<PeerMessage>;
  received: PeerMessage[];
  heard: EventEmitter;
}

async function receiver(secret: string): Promise<Receiver> {
  const received: PeerMessage[] = [];
  const heard = new EventEmitter();
  const transport = await startPeerTransport<PeerMessage>({
    address: '127.0.0.1:0',
    secret,
    incarnation: 1,
    onMessage: (_from, _incarnation, message) => {
      received.push(message);
      heard.emit('message');
    },
  });
  return {transport, received, heard};
}

test('a peer with another secret is refused, one with the same is heard', async t => {
  const target = await receiver('right');
  const stranger = await receiver('wrong');
  const peer = await receiver('right');
  t.after(async () => {
    for (const {transport} of [target, stranger, peer]) {
      await transport.dispose();
    }
  });
  stranger.transport.send(target.transport.address, {...MESSAGE, next: 1});
  const heard = once(target.heard, 'message');
  peer.transport.send(target.transport.address, MESSAGE);
  await heard;
  stranger.transport.send(target.transport.address, {...MESSAGE, next: 2});
  const heardAgain = once(target.heard, 'message');
  peer.transport.send(target.transport.address, {...MESSAGE, next: 8});
  await heardAgain;
  assert.deepEqual(
    target.received.map(message => 'next' in message && message.next),
    [7, 8],
  );
});
