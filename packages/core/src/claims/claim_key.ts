import {hash32} from '../shared/hash32.js';
import type {LogStream} from '../types/log_stream.js';
import {uuidV7TimeMs} from './uuid_v7_time_ms.js';

/** Number of claims streams; fixed, since it maps each key to its stream. */
export const PARTITIONS = 16;
const UUID_LENGTH = 36;

/**
 * Builds an identifier that is unique over all customers. UUIDs that differ
 * only in case are the same key.
 */
export function claimKey(customer: string, idempotencyKey: string): string {
  return `${customer}/${idempotencyKey.toLowerCase()}`;
}

/** Creation time of a claim key; undefined if it does not end in a UUIDv7. */
export function claimKeyTimeMs(key: string): number | undefined {
  return uuidV7TimeMs(key.slice(-UUID_LENGTH));
}

/** Partition of a claim key, from 0. */
export function partitionOf(key: string): number {
  return hash32(key) % PARTITIONS;
}

/** Stream of a partition, `claims-00` to `claims-15`. */
export function partitionStream(partition: number): LogStream {
  return `claims-${String(partition).padStart(2, '0')}`;
}
