import type {VmEntry} from '@wisterialadder/core/types/vm_entry.js';
import type {PlatformFaults} from './platform_faults.js';

/** A record to append. */
export interface AppendAsked {
  kind: 'append_asked';
  callId: string;
  stream: string;
  data: string;
}

/** A long-poll read that waits up to `waitMs` for a record. */
export interface ReadAsked {
  kind: 'read_asked';
  callId: string;
  stream: string;
  from: number;
  waitMs: number;
}

/** Replaces the VM list. */
export interface VmsChanged {
  kind: 'vms_changed';
  callId: string;
  vms: VmEntry[];
}

/** Changes the injected faults. */
export interface ControlReceived {
  kind: 'control_received';
  callId: string;
  faults: Partial<PlatformFaults>;
}

/** Inputs of the platform node. */
export type PlatformEvent =
  | AppendAsked
  | ReadAsked
  | VmsChanged
  | ControlReceived
  | {kind: 'vms_asked'; callId: string}
  | {kind: 'weights_asked'; callId: string; model: string}
  | {kind: 'client_gone'; callId: string}
  | {kind: 'tick'};
