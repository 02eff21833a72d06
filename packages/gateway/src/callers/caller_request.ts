import type {RequestArrived} from '@wisterialadder/core/gateway/events/request_arrived.js';

/** Parsed head of a request, without the id that the gateway assigns. */
export interface CallerRequest extends Omit<
  RequestArrived,
  'kind' | 'reqId' | 'bodyBytes'
> {
  /** The caller's own id of the request; empty if there is none. */
  callerId: string;
}
