import {decimal, integer} from './setting_kinds.js';

/** Memory for what callers and endpoints send. */
export const MEMORY_SECTION = {
  total: decimal(0, 16_777_216, {
    help: 'Memory of the VM; 0 takes what the operating system reports.',
    unit: 'MB',
    fallback: '0',
  }),
  process: decimal(0, 16_777_216, {
    help: 'Part of the memory that the process itself needs.',
    unit: 'MB',
    fallback: '90',
  }),
  budget: decimal(0, 16_777_216, {
    help: 'Bodies, heads, answers and unread bytes held at once; 0 takes three tenths of what total, process and connections leave.',
    unit: 'MB',
    fallback: '0',
  }),
  heads: decimal(0, 16_777_216, {
    help: 'Part of the budget for heads of requests of more than 4 KB in memory; 0 takes a fifth of the JavaScript heap.',
    unit: 'MB',
    fallback: '0',
  }),
};

/** Bounds on the connections of callers. */
export const CONNECTIONS_SECTION = {
  descriptors: decimal(0, 1_000_000_000, {
    help: 'File descriptors of the process; 0 takes what the operating system reports.',
    fallback: '0',
  }),
  callers: integer(0, 1_000_000, {
    help: 'Connections of callers; beyond that, idle ones are closed. 0 takes three quarters of the descriptors.',
    fallback: '0',
  }),
};

/** Limits on the bodies of requests. */
export const BODIES_SECTION = {
  min_rate: decimal(0, 1_000_000, {
    help: 'Slowest body, measured over windows longer than the idle timeout; 0 for no limit.',
    unit: 'bytes/s',
    fallback: '64',
  }),
  linger: integer(0, 60_000, {
    help: 'Time for which the rest of a refused body is discarded before its connection is closed.',
    unit: 'ms',
    fallback: '1000',
  }),
  discard: integer(0, 1_048_576, {
    help: 'Largest part of a refused body that is discarded before its connection is closed.',
    unit: 'KB',
    fallback: '1024',
  }),
};
