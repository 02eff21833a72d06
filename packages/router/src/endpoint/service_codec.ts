import type {StartAttempt} from '@wisterialadder/core/router/actions/start_attempt.js';
import type {OpenRequest} from '../caller/open_request.js';
import type {ServiceAnswer} from '../caller/service_answer.js';
import type {AttemptSink} from './attempt_sink.js';
import {EndpointCodec} from './endpoint_codec.js';
import type {EndpointResponse} from './endpoint_response.js';

/**
 * Calls of plain services. A response with a status below 500 is the service's
 * own answer and is forwarded.
 */
export class ServiceCodec extends EndpointCodec {
  override path(_action: StartAttempt, open: OpenRequest): string {
    return `/call/${open.action}`;
  }

  override async read(res: EndpointResponse, sink: AttemptSink): Promise<void> {
    if (res.statusCode >= 500) {
      await res.body.dump();
      const leaving = res.headers['wl-leaving'] === 'true';
      sink.failed(this.failureOf(res), leaving);
      return;
    }
    const answer: ServiceAnswer = {
      status: res.statusCode,
      contentType: String(res.headers['content-type'] ?? 'text/plain'),
      body: await res.body.text(),
    };
    sink.delta(0, JSON.stringify(answer));
    sink.ended(1);
  }
}
