import type {RequestArrived} from '@wisterialadder/core/gateway/events/request_arrived.js';

/** Parsed head of a request, without the id that the gateway assigns. */
export interface CallerRequest extends Omit<
  RequestArrived,
  'kind' | 'reqId' | 'bodyBytes' | 'digest'
> {
  /** The caller's own id of the request; empty if there is none. */
  callerId: string;
  /** What of the headers the caller's repeats of the request share. */
  identity: string;
}
