import {
  create,
  fromBinary,
  toBinary,
  type MessageInitShape,
} from '@bufbuild/protobuf';
import type {Beat} from '@wisterialadder/core/fleet/messages/beat.js';
import type {StoreNews} from '@wisterialadder/core/fleet/messages/store_news.js';
import type {FleetDigest} from '@wisterialadder/core/fleet/messages/fleet_digest.js';
import type {WorkUpdate} from '@wisterialadder/core/fleet/messages/work_update.js';
import type {EntryChange} from '@wisterialadder/core/registry/entry_change.js';
import {
  DatagramSchema,
  type Datagram,
  type EntryChange as WireChange,
  type EntryChangeSchema,
} from '../gen/gateway_pb.js';
import type {DatagramMessage} from './datagram_message.js';

type WireMessage = MessageInitShape<typeof DatagramSchema>['message'];

/** Encodes a message for a datagram. */
export function encodeDatagram(
  fleet: number,
  incarnation: number,
  message: DatagramMessage,
): Uint8Array {
  const datagram = create(DatagramSchema, {
    fleet,
    incarnation: BigInt(incarnation),
    message: wireMessage(message),
  });
  return toBinary(DatagramSchema, datagram);
}

function wireMessage(message: DatagramMessage): WireMessage {
  switch (message.kind) {
    case 'beat':
      return {case: 'beat', value: beatOut(message)};
    case 'work_update':
      return {case: 'workUpdate', value: updateOut(message)};
    case 'fleet_digest':
      return {case: 'fleetDigest', value: digestOut(message)};
    case 'store_news':
      return {case: 'storeNews', value: newsOut(message)};
    case 'endpoint_doubt': {
      const {endpoint, pauseMs} = message;
      return {case: 'endpointDoubt', value: {endpoint, pauseMs}};
    }
  }
}

function beatOut({kind: _kind, work, ...rest}: Beat) {
  return {...rest, work: work.map(noticeOut)};
}

function updateOut({started, writing, ended, passOn}: WorkUpdate) {
  return {started: started.map(noticeOut), writing, ended, passOn};
}

function digestOut({changes, beats, passOn}: FleetDigest) {
  return {
    passOn,
    beats: beats.map(beat => ({
      ...beat,
      incarnation: BigInt(beat.incarnation),
      work: beat.work.map(noticeOut),
    })),
    changes: changes.map(({member, incarnation, started, writing, ended}) => ({
      member,
      incarnation: BigInt(incarnation),
      started: started.map(noticeOut),
      writing,
      ended,
    })),
  };
}

function noticeOut(notice: Beat['work'][number]) {
  return {
    ...notice,
    dueInMs: Math.round(notice.dueInMs),
    ageMs: Math.round(notice.ageMs),
  };
}

function newsOut(news: StoreNews) {
  return {
    configurationOffset: BigInt(news.configurationOffset),
    registryOffset: BigInt(news.registryOffset),
    registryFromOffset: BigInt(news.registryFromOffset),
    changes: news.changes.map(changeOut),
    ageMs: Math.max(0, Math.round(news.ageMs)),
  };
}

function changeOut(
  change: EntryChange,
): MessageInitShape<typeof EntryChangeSchema> {
  const {id, entry, unreadable} = change;
  if (!entry) return {id, unreadable};
  return {
    id,
    unreadable,
    entry: {
      service: entry.service,
      address: entry.address,
      failureDomain: entry.failureDomain,
      slots: entry.slots,
      leaving: entry.state === 'leaving',
      warmUpMs: Math.max(0, Math.round(entry.warmUpMs)),
      sequence: BigInt(entry.sequence),
      startedAtMs: BigInt(entry.startedAtMs),
    },
  };
}

/** A datagram's content, and whose it is. */
export interface DecodedDatagram {
  fleet: number;
  incarnation: number;
  message: DatagramMessage;
}

/** Decodes a datagram; undefined if it cannot be read. */
export function decodeDatagram(bytes: Uint8Array): DecodedDatagram | undefined {
  let datagram: Datagram;
  try {
    datagram = fromBinary(DatagramSchema, bytes);
  } catch {
    // Anybody can send bytes to the port; the caller counts them.
    return undefined;
  }
  const message = messageIn(datagram);
  if (!message) return undefined;
  const {fleet, incarnation} = datagram;
  return {fleet, incarnation: Number(incarnation), message};
}

function messageIn({message}: Datagram): DatagramMessage | undefined {
  switch (message.case) {
    case 'beat':
      return {kind: 'beat', ...message.value};
    case 'workUpdate':
      return {kind: 'work_update', ...message.value};
    case 'fleetDigest':
      return {
        kind: 'fleet_digest',
        passOn: message.value.passOn,
        changes: message.value.changes.map(change => ({
          ...change,
          incarnation: Number(change.incarnation),
        })),
        beats: message.value.beats.map(beat => ({
          ...beat,
          incarnation: Number(beat.incarnation),
        })),
      };
    case 'storeNews':
      return {
        kind: 'store_news',
        configurationOffset: Number(message.value.configurationOffset),
        registryOffset: Number(message.value.registryOffset),
        registryFromOffset: Number(message.value.registryFromOffset),
        changes: message.value.changes.map(changeIn),
        ageMs: message.value.ageMs,
      };
    case 'endpointDoubt':
      return {kind: 'endpoint_doubt', ...message.value};
    default:
      return undefined;
  }
}

function changeIn({id, entry, unreadable}: WireChange): EntryChange {
  if (!entry) return {id, entry: undefined, unreadable};
  return {
    id,
    unreadable,
    entry: {
      id,
      service: entry.service,
      address: entry.address,
      failureDomain: entry.failureDomain,
      slots: entry.slots,
      state: entry.leaving ? 'leaving' : 'ready',
      warmUpMs: entry.warmUpMs,
      sequence: Number(entry.sequence),
      startedAtMs: Number(entry.startedAtMs),
    },
  };
}
