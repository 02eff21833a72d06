import {getHeapStatistics} from 'node:v8';
import type {
  CONNECTIONS_SECTION,
  MEMORY_SECTION,
} from '../settings/limit_sections.js';
import type {SettingsOf} from '../settings/settings_definition.js';
import {systemDescriptors, systemMemoryBytes} from './system_limits.js';

const BYTES_PER_MB = 1_048_576;
/** Socket, parser and an unfinished head of a connection. */
const CONNECTION_BYTES = 24_576;
/** The rest is for endpoints, peers, the store and files. */
const CALLER_SHARE = 0.75;
/**
 * Freed bytes stay resident until the next garbage collection, and a body is
 * copied once when it is complete.
 */
const BUDGET_SHARE = 0.3;
/** The rest is for the program, and for what each connection takes. */
const HEAP_SHARE = 0.2;
/** One body and its answer must fit on any VM. */
const MIN_BUDGET_BYTES = 12 * BYTES_PER_MB;

/** Settings from which the limits follow. */
export type ProcessLimitSettings = SettingsOf<{
  memory: typeof MEMORY_SECTION;
  connections: typeof CONNECTIONS_SECTION;
}>;

/** Limits on what callers may take of the process. */
export interface ProcessLimits {
  /** Bytes of the memory budget. */
  budgetBytes: number;
  /** Part of the budget that may lie in the JavaScript heap. */
  heapBytes: number;
  callerConnections: number;
}

/** Derives the limits from the settings, else from the operating system. */
export function processLimits(cfg: ProcessLimitSettings): ProcessLimits {
  const callerConnections = callerConnectionsOf(cfg);
  return {
    callerConnections,
    budgetBytes: budgetBytesOf(cfg, callerConnections),
    heapBytes: heapBytesOf(cfg),
  };
}

function callerConnectionsOf({connections}: ProcessLimitSettings): number {
  if (connections.callers > 0) return connections.callers;
  const descriptors = connections.descriptors || systemDescriptors();
  return Math.max(1, Math.floor(descriptors * CALLER_SHARE));
}

function heapBytesOf({memory}: ProcessLimitSettings): number {
  if (memory.heads > 0) return memory.heads * BYTES_PER_MB;
  return Math.floor(getHeapStatistics().heap_size_limit * HEAP_SHARE);
}

function budgetBytesOf(
  {memory}: ProcessLimitSettings,
  connections: number,
): number {
  if (memory.budget > 0) return memory.budget * BYTES_PER_MB;
  const totalBytes = memory.total * BYTES_PER_MB || systemMemoryBytes();
  const usedBytes =
    memory.process * BYTES_PER_MB + connections * CONNECTION_BYTES;
  const leftBytes = (totalBytes - usedBytes) * BUDGET_SHARE;
  return Math.max(MIN_BUDGET_BYTES, Math.floor(leftBytes));
}
