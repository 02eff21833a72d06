import type {RequestArrived} from '@wisterialadder/core/gateway/events/request_arrived.js';

/** What the head of a request says, without the id that is made up here. */
export interface CallerRequest extends Omit<
  RequestArrived,
  'kind' | 'reqId' | 'bodyBytes'
> {
  /** The caller's id of the request; empty if it gave none. */
  callerId: string;
}
