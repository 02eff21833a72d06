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
import {isAddress} from '@wisterialadder/runtime/http/is_address.js';
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
    message: encodeMessage(message),
  });
  return toBinary(DatagramSchema, datagram);
}

function encodeMessage(message: DatagramMessage): WireMessage {
  switch (message.kind) {
    case 'beat':
      return {case: 'beat', value: encodeBeat(message)};
    case 'work_update':
      return {case: 'workUpdate', value: encodeWorkUpdate(message)};
    case 'fleet_digest':
      return {case: 'fleetDigest', value: encodeFleetDigest(message)};
    case 'store_news':
      return {case: 'storeNews', value: encodeStoreNews(message)};
    case 'endpoint_doubt': {
      const {endpoint, pauseMs} = message;
      return {case: 'endpointDoubt', value: {endpoint, pauseMs}};
    }
    case 'endpoint_leaving': {
      const {endpoint, startedAtMs} = message;
      const value = {endpoint, startedAtMs: BigInt(startedAtMs)};
      return {case: 'endpointLeaving', value};
    }
  }
}

function encodeBeat({kind: _kind, work, ...rest}: Beat) {
  return {...rest, work: work.map(encodeWorkNotice)};
}

function encodeWorkUpdate({started, writing, ended, passOn}: WorkUpdate) {
  return {started: started.map(encodeWorkNotice), writing, ended, passOn};
}

function encodeFleetDigest({changes, beats, passOn}: FleetDigest) {
  return {
    passOn,
    beats: beats.map(beat => ({
      ...beat,
      incarnation: BigInt(beat.incarnation),
      work: beat.work.map(encodeWorkNotice),
    })),
    changes: changes.map(({member, incarnation, started, writing, ended}) => ({
      member,
      incarnation: BigInt(incarnation),
      started: started.map(encodeWorkNotice),
      writing,
      ended,
    })),
  };
}

function encodeWorkNotice(notice: Beat['work'][number]) {
  return {
    ...notice,
    dueInMs: Math.round(notice.dueInMs),
    ageMs: Math.round(notice.ageMs),
  };
}

function encodeStoreNews(news: StoreNews) {
  return {
    configurationOffset: BigInt(news.configurationOffset),
    registryOffset: BigInt(news.registryOffset),
    registryFromOffset: BigInt(news.registryFromOffset),
    changes: news.changes.map(encodeEntryChange),
    ageMs: Math.max(0, Math.round(news.ageMs)),
  };
}

function encodeEntryChange(
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

/** Content of a datagram and the fleet and incarnation of its sender. */
export interface DecodedDatagram {
  fleet: number;
  incarnation: number;
  message: DatagramMessage;
}

/** Decodes a datagram; returns undefined if it is malformed. */
export function decodeDatagram(bytes: Uint8Array): DecodedDatagram | undefined {
  try {
    const datagram = fromBinary(DatagramSchema, bytes);
    const message = decodeMessage(datagram);
    if (!message) return undefined;
    const {fleet, incarnation} = datagram;
    return {fleet, incarnation: safeNumber(incarnation), message};
  } catch {
    // Any process can send bytes to the port, so malformed ones are dropped.
    return undefined;
  }
}

/** @throws {RangeError} if the value is too large for a whole number */
function safeNumber(value: bigint): number {
  const number = Number(value);
  if (Number.isSafeInteger(number)) return number;
  throw new RangeError(`${value} is too large`);
}

function decodeMessage({message}: Datagram): DatagramMessage | undefined {
  switch (message.case) {
    case 'beat':
      return {kind: 'beat', ...message.value};
    case 'workUpdate':
      return {kind: 'work_update', ...message.value};
    case 'fleetDigest':
      return {
        kind: 'fleet_digest',
        passOn: message.value.passOn,
        changes: message.value.changes.filter(hasAddress).map(change => ({
          ...change,
          incarnation: safeNumber(change.incarnation),
        })),
        beats: message.value.beats.filter(hasAddress).map(beat => ({
          ...beat,
          incarnation: safeNumber(beat.incarnation),
        })),
      };
    case 'storeNews':
      return {
        kind: 'store_news',
        configurationOffset: safeNumber(message.value.configurationOffset),
        registryOffset: safeNumber(message.value.registryOffset),
        registryFromOffset: safeNumber(message.value.registryFromOffset),
        changes: message.value.changes.map(decodeEntryChange),
        ageMs: message.value.ageMs,
      };
    case 'endpointDoubt':
      return {kind: 'endpoint_doubt', ...message.value};
    case 'endpointLeaving':
      return {
        kind: 'endpoint_leaving',
        endpoint: message.value.endpoint,
        startedAtMs: safeNumber(message.value.startedAtMs),
      };
    default:
      return undefined;
  }
}

/** Whether messages can be sent to the member. */
function hasAddress({member}: {member: string}): boolean {
  return isAddress(member);
}

function decodeEntryChange({id, entry, unreadable}: WireChange): EntryChange {
  if (entry && !isAddress(entry.address)) {
    return {id, entry: undefined, unreadable: true};
  }
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
      sequence: safeNumber(entry.sequence),
      startedAtMs: safeNumber(entry.startedAtMs),
    },
  };
}
