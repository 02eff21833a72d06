import {fromBinary} from '@bufbuild/protobuf';
import type {EndpointLimit} from '@wisterialadder/core/fleet/messages/endpoint_limit.js';
import type {EntryChange} from '@wisterialadder/core/registry/entry_change.js';
import {isAddress} from '@wisterialadder/runtime/http/is_address.js';
import {
  DatagramSchema,
  type Datagram,
  type EndpointLimit as WireLimit,
  type EntryChange as WireChange,
} from '../gen/gateway_pb.js';
import type {DatagramMessage} from './datagram_message.js';
import {decodeCrashNews, decodeQuarantineNews} from './quarantine_codec.js';
import {decodeWorkEstimates} from './estimates_codec.js';
import {safeNumber} from './safe_number.js';
import type {DecodedDatagram} from './decoded_datagram.js';

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
        drainedDomains: message.value.drainedDomains?.domains,
        registryOffset: safeNumber(message.value.registryOffset),
        registryFromOffset: safeNumber(message.value.registryFromOffset),
        changes: message.value.changes.map(decodeEntryChange),
        ageMs: message.value.ageMs,
        retaining: message.value.retaining,
        summary: {
          endpoints: message.value.registryEndpoints,
          startSumMs: message.value.registryStartSumMs,
        },
      };
    case 'endpointDoubt':
      return {kind: 'endpoint_doubt', ...message.value};
    case 'endpointLeaving':
      return {
        kind: 'endpoint_leaving',
        endpoint: message.value.endpoint,
        startedAtMs: safeNumber(message.value.startedAtMs),
      };
    case 'memoryRenewal':
      return {kind: 'memory_renewal', ...message.value};
    case 'memoryRenewed':
      return {kind: 'memory_renewed', ...message.value};
    case 'endpointLimit':
      return decodeEndpointLimit(message.value);
    case 'crashNews':
      return decodeCrashNews(message.value);
    case 'workEstimates':
      return decodeWorkEstimates(message.value);
    case 'quarantineNews':
      return decodeQuarantineNews(message.value);
    default:
      return undefined;
  }
}

/** A limit that is no amount is dropped with its message. */
function decodeEndpointLimit({
  endpoint,
  startedAtMs,
  requestsPerSecond,
}: WireLimit): EndpointLimit | undefined {
  const limit = requestsPerSecond ?? 'none';
  if (limit !== 'none' && !(limit >= 0 && limit < Infinity)) return undefined;
  return {
    kind: 'endpoint_limit',
    endpoint,
    startedAtMs: safeNumber(startedAtMs),
    limit,
  };
}

/** Whether messages can be sent to the member. */
function hasAddress({member}: {member: string}): boolean {
  return isAddress(member);
}

function decodeEntryChange(change: WireChange): EntryChange {
  const {id, entry, unreadable} = change;
  const offset = safeNumber(change.offset);
  if (entry && !isAddress(entry.address)) {
    return {id, offset, entry: undefined, unreadable: true};
  }
  if (!entry) return {id, offset, entry: undefined, unreadable};
  return {
    id,
    offset,
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
