import type {StartAttempt} from '@wisterialadder/core/router/actions/start_attempt.js';
import type {OpenRequest} from '../caller/open_request.js';
import type {AttemptSink} from './attempt_sink.js';
import {EndpointCodec} from './endpoint_codec.js';
import type {EndpointResponse} from './endpoint_response.js';
import {createSseParser} from './sse_parser.js';

const END_MARKER = '[DONE]';

/** Chat completions as server-sent events. */
export class EngineCodec extends EndpointCodec {
  override path(): string {
    return '/v1/chat/completions';
  }

  override headers(
    action: StartAttempt,
    open: OpenRequest,
  ): Record<string, string> {
    const headers = super.headers(action, open);
    headers['wl-resume-from'] = String(action.resumeFrom);
    if (action.reservations.length > 0) {
      headers['wl-reservations'] = JSON.stringify(action.reservations);
    }
    return headers;
  }

  override async read(res: EndpointResponse, sink: AttemptSink): Promise<void> {
    if (res.statusCode !== 200) {
      await res.body.dump();
      const leaving = res.headers['wl-leaving'] === 'true';
      sink.failed(this.failureOf(res), leaving);
      return;
    }
    const parser = createSseParser();
    const decoder = new TextDecoder();
    for await (const bytes of res.body as AsyncIterable<Buffer>) {
      for (const event of parser.feed(decoder.decode(bytes, {stream: true}))) {
        const sequence = Number(event.id);
        if (event.data === END_MARKER) {
          sink.ended(sequence);
          return;
        }
        sink.delta(sequence, event.data);
      }
    }
    sink.failed('broken', false);
  }
}
