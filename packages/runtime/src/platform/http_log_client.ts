import {request} from 'undici';
import {z} from 'zod';
import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import type {LogBatch} from './log_batch.js';
import {LogClient} from './log_client.js';
import type {LogServiceError} from './log_error.js';

const APPEND_TIMEOUT_MS = 2_000;
/** Time that the service may take beyond the requested wait. */
const READ_MARGIN_MS = 2_000;

const APPEND_ANSWER = z.object({offset: z.number().int().nonnegative()});
const READ_ANSWER = z.object({
  earliest: z.number().int(),
  end: z.number().int(),
  records: z.array(z.object({offset: z.number().int(), data: z.string()})),
});

/** HTTP client of the log service. */
export class HttpLogClient extends LogClient {
  constructor(private readonly baseUrl: string) {
    super();
  }

  override async append(
    stream: string,
    data: string,
  ): Promise<Result<number, LogServiceError>> {
    try {
      const res = await request(`${this.baseUrl}/log/${stream}`, {
        method: 'POST',
        body: data,
        headersTimeout: APPEND_TIMEOUT_MS,
        bodyTimeout: APPEND_TIMEOUT_MS,
      });
      if (res.statusCode === 429 || res.statusCode === 503) {
        await res.body.dump();
        return Err('not_appended');
      }
      const parsed = APPEND_ANSWER.safeParse(await res.body.json());
      return parsed.success ? Ok(parsed.data.offset) : Err('unknown');
    } catch (err) {
      return Err(isConnectFailure(err) ? 'not_appended' : 'unknown');
    }
  }

  override async read(
    stream: string,
    from: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<LogBatch, LogServiceError>> {
    const url = `${this.baseUrl}/log/${stream}?from=${from}&wait_ms=${waitMs}`;
    try {
      const res = await request(url, {
        headersTimeout: waitMs + READ_MARGIN_MS,
        bodyTimeout: waitMs + READ_MARGIN_MS,
        signal,
      });
      if (res.statusCode !== 200) {
        await res.body.dump();
        return Err('unavailable');
      }
      const parsed = READ_ANSWER.safeParse(await res.body.json());
      return parsed.success ? Ok(parsed.data) : Err('unavailable');
    } catch {
      return Err('unavailable');
    }
  }
}

function isConnectFailure(err: unknown): boolean {
  const code = (err as {code?: unknown}).code;
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
}
