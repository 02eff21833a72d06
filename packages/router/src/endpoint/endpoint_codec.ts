import type {StartAttempt} from '@wisterialadder/core/router/actions/start_attempt.js';
import type {AttemptFailure} from '@wisterialadder/core/types/attempt_failure.js';
import type {OpenRequest} from '../caller/open_request.js';
import type {AttemptSink} from './attempt_sink.js';
import type {EndpointResponse} from './endpoint_response.js';

const NOT_RUN_HEADER = 'wl-not-run';

/** Encodes attempts for one kind of endpoint and decodes its responses. */
export abstract class EndpointCodec {
  constructor(protected readonly owner: string) {}

  abstract path(action: StartAttempt, open: OpenRequest): string;

  /** Headers of the request; the body is sent as the caller sent it. */
  headers(action: StartAttempt, open: OpenRequest): Record<string, string> {
    const headers: Record<string, string> = {
      'content-type': 'application/json',
      'wl-request-id': action.reqId,
      'wl-attempt': String(action.attempt),
      'wl-owner': this.owner,
      'wl-priority': String(action.priority),
      'wl-timeout-ms': String(Math.max(1, Math.floor(action.timeoutMs))),
    };
    if (open.idempotencyKey !== '') {
      headers['idempotency-key'] = open.idempotencyKey;
    }
    return headers;
  }

  /** Reads the response to its end; throws if the connection breaks. */
  abstract read(res: EndpointResponse, sink: AttemptSink): Promise<void>;

  /** Classifies a response that carries no answer. */
  protected failureOf(res: EndpointResponse): AttemptFailure {
    if (res.statusCode === 503 && res.headers[NOT_RUN_HEADER] === 'true') {
      return 'said_not_run';
    }
    return res.statusCode < 500 ? 'rejected' : 'broken';
  }
}
