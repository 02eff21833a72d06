import {create, toBinary, type MessageInitShape} from '@bufbuild/protobuf';
import type {Beat} from '@wisterialadder/core/fleet/messages/beat.js';
import type {StoreNews} from '@wisterialadder/core/fleet/messages/store_news.js';
import type {FleetDigest} from '@wisterialadder/core/fleet/messages/fleet_digest.js';
import type {WorkUpdate} from '@wisterialadder/core/fleet/messages/work_update.js';
import type {EntryChange} from '@wisterialadder/core/registry/entry_change.js';
import {DatagramSchema, type EntryChangeSchema} from '../gen/gateway_pb.js';
import {encodeCrashNews, encodeQuarantineNews} from './quarantine_codec.js';
import {encodeWorkEstimates} from './estimates_codec.js';
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
    case 'crash_news':
      return {case: 'crashNews', value: encodeCrashNews(message)};
    case 'work_estimates':
      return {case: 'workEstimates', value: encodeWorkEstimates(message)};
    case 'quarantine_news':
      return {case: 'quarantineNews', value: encodeQuarantineNews(message)};
    case 'memory_renewal': {
      const {ticket, endpoint, tokens} = message;
      return {case: 'memoryRenewal', value: {ticket, endpoint, tokens}};
    }
    case 'memory_renewed': {
      const {ticket, endpoint} = message;
      return {case: 'memoryRenewed', value: {ticket, endpoint}};
    }
    case 'endpoint_limit': {
      const {endpoint, startedAtMs, limit} = message;
      const requestsPerSecond = limit === 'none' ? undefined : limit;
      const start = {endpoint, startedAtMs: BigInt(startedAtMs)};
      return {case: 'endpointLimit', value: {...start, requestsPerSecond}};
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
    serviceMs: Math.round(notice.serviceMs),
  };
}

function encodeStoreNews(news: StoreNews) {
  return {
    configurationOffset: BigInt(news.configurationOffset),
    drainedDomains: news.drainedDomains && {domains: news.drainedDomains},
    registryOffset: BigInt(news.registryOffset),
    registryFromOffset: BigInt(news.registryFromOffset),
    changes: news.changes.map(encodeEntryChange),
    ageMs: Math.max(0, Math.round(news.ageMs)),
    retaining: news.retaining,
    registryEndpoints: news.summary.endpoints,
    registryStartSumMs: news.summary.startSumMs,
  };
}

function encodeEntryChange(
  change: EntryChange,
): MessageInitShape<typeof EntryChangeSchema> {
  const {id, entry, unreadable} = change;
  const offset = BigInt(change.offset);
  if (!entry) return {id, offset, unreadable};
  return {
    id,
    offset,
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
