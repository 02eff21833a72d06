import type {ServerResponse} from 'node:http';
import {sendJson} from '@wisterialadder/runtime/http/send_json.js';
import type {Outcome} from '@wisterialadder/core/types/outcome.js';
import {outcomeBody} from './outcome_body.js';
import {outcomeStatus} from './outcome_status.js';

const MS_PER_SECOND = 1_000;

/** Response to a caller that has not ended yet. */
export abstract class CallerReply {
  constructor(
    protected readonly reqId: string,
    protected readonly res: ServerResponse,
  ) {}

  /** Forwards one part of the answer, as the endpoint codec encoded it. */
  abstract deliver(payload: string): void;

  /** Ends the response after a complete answer. */
  protected abstract complete(): void;

  /** Ends the response with the request's outcome. */
  finish(outcome: Outcome): void {
    if (outcome.kind === 'completed') this.complete();
    else this.fail(outcome);
  }

  /** Bytes buffered because the caller has not read them yet. */
  buffered(): number {
    return this.res.writableLength;
  }

  protected fail(outcome: Outcome): void {
    const headers: Record<string, string> = {...this.headers(outcome)};
    if (outcome.kind === 'rejected_not_run' && outcome.retryAfterMs) {
      const seconds = Math.ceil(outcome.retryAfterMs / MS_PER_SECOND);
      headers['retry-after'] = String(seconds);
    }
    const body = outcomeBody(this.reqId, outcome);
    sendJson(this.res, outcomeStatus(outcome), body, headers);
  }

  protected headers(outcome: Outcome): Record<string, string> {
    return {'wl-request-id': this.reqId, 'wl-outcome': outcome.kind};
  }
}
