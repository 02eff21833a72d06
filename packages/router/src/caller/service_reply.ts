import {CallerReply} from './caller_reply.js';
import type {ServiceAnswer} from './service_answer.js';

/** Forwards the complete response of a plain service. */
export class ServiceReply extends CallerReply {
  private answer: ServiceAnswer | undefined;

  override deliver(payload: string): void {
    this.answer = JSON.parse(payload) as ServiceAnswer;
  }

  protected override complete(): void {
    const {status = 200, contentType = '', body = ''} = this.answer ?? {};
    this.res.writeHead(status, {
      'content-type': contentType,
      ...this.headers({kind: 'completed'}),
    });
    this.res.end(body);
  }
}
