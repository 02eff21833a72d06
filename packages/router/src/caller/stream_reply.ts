import type {Outcome} from '@wisterialadder/core/types/outcome.js';
import {CallerReply} from './caller_reply.js';
import {outcomeBody} from './outcome_body.js';

/** Answer as server-sent events. */
export class StreamReply extends CallerReply {
  override deliver(payload: string): void {
    this.openStream();
    this.res.write(`data: ${payload}\n\n`);
  }

  protected override complete(): void {
    this.openStream();
    this.res.end('data: [DONE]\n\n');
  }

  protected override fail(outcome: Outcome): void {
    if (!this.res.headersSent) {
      super.fail(outcome);
      return;
    }
    const body = JSON.stringify(outcomeBody(this.reqId, outcome));
    this.res.end(`event: wl-outcome\ndata: ${body}\n\n`);
  }

  private openStream(): void {
    if (this.res.headersSent) return;
    this.res.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      'wl-request-id': this.reqId,
    });
  }
}
