import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import {request} from 'undici';
import type {z} from 'zod';
import type {CliError} from '../cli_error.js';
import {ERROR_RESPONSE} from './responses.js';
import {ERROR_EXITS} from './error_exits.js';

/** Exceeds the largest `[edits] answer_within` of wl-admin, 60 s. */
const TIMEOUT_MS = 90_000;

/** Calls the administration API. */
export interface AdminClient {
  get<T>(path: string, schema: z.ZodType<T>): Promise<Result<T, CliError>>;
  post<T>(
    path: string,
    body: unknown,
    schema: z.ZodType<T>,
    headers?: Record<string, string>,
  ): Promise<Result<T, CliError>>;
}

/** Creates a client of the API at a base URL. */
export function createAdminClient(baseUrl: string, key: string): AdminClient {
  async function call<T>(
    method: 'GET' | 'POST',
    path: string,
    schema: z.ZodType<T>,
    body?: string,
    headers: Record<string, string> = {},
  ): Promise<Result<T, CliError>> {
    const location = `${method} ${baseUrl}${path}`;
    let text: string;
    let status: number;
    try {
      const res = await request(`${baseUrl}${path}`, {
        method,
        headers: {authorization: `Bearer ${key}`, ...headers},
        body,
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      status = res.statusCode;
      text = await res.body.text();
    } catch (err) {
      return Err({
        exit: 'unreachable',
        message: `no answer (${(err as Error).message})`,
        location,
        hint: unreachableHint(method, path),
      });
    }
    const value = parseJson(text);
    if (status >= 400) return Err(apiError(value, status, location));
    const parsed = schema.safeParse(value);
    if (parsed.success) return Ok(parsed.data);
    const message = 'the response is not one of the administration API';
    return Err({exit: 'failed', message, location, hint: 'Check the address.'});
  }

  return {
    get: (path, schema) => call('GET', path, schema),
    post: (path, body, schema, headers) =>
      call('POST', path, schema, JSON.stringify(body), headers),
  };
}

// An edit whose response is lost may be in effect.
function unreachableHint(method: string, path: string): string {
  const check = 'Check --url or WL_ADMIN_URL and that wl-admin runs.';
  if (method === 'GET' || !path.startsWith('/v1/edits')) return check;
  return `${check} The edit may be in effect; the same --id repeats it safely.`;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function apiError(value: unknown, status: number, location: string): CliError {
  const parsed = ERROR_RESPONSE.safeParse(value);
  if (!parsed.success) {
    return {
      exit: 'failed',
      message: `status ${status}`,
      location,
      hint: '',
    };
  }
  const {error, message, faults} = parsed.data;
  const details = faults.map(
    ({key, column, problem}) => `${key} ${column}: ${problem}`,
  );
  return {
    exit: ERROR_EXITS[error] ?? 'failed',
    message: `${error}: ${message}`,
    location,
    hint: details.join('\n  '),
  };
}
