import type {ServerResponse} from 'node:http';
import {sendJson} from '@wisterialadder/runtime/http/send_json.js';
import type {Outcome} from '@wisterialadder/core/types/outcome.js';
import {outcomeBody} from './outcome_body.js';
import {outcomeStatus} from './outcome_status.js';

const MS_PER_SECOND = 1_000;

/** An open answer to a caller. */
export abstract class CallerReply {
  constructor(
    protected readonly reqId: string,
    protected readonly res: ServerResponse,
  ) {}

  /** Passes on a part of the answer, as the endpoint adapter wrote it. */
  abstract deliver(payload: string): void;

  /** Ends a whole answer. */
  protected abstract complete(): void;

  /** Ends the answer with its outcome. */
  finish(outcome: Outcome): void {
    if (outcome.kind === 'completed') this.complete();
    else this.fail(outcome);
  }

  /** Bytes that the caller has not taken yet. */
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
