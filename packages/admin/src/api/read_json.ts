import type {IncomingMessage} from 'node:http';
import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import {readBody} from '@wisterialadder/runtime/http/read_body.js';
import type {z} from 'zod';
import type {ApiError} from './api_error.js';

/** Reads a JSON body of at most `maxBytes` and validates it. */
export async function readJson<T>(
  req: IncomingMessage,
  maxBytes: number,
  schema: z.ZodType<T>,
): Promise<Result<T, ApiError>> {
  const body = await readBody(req, maxBytes);
  if (!body.ok) {
    if (body.val === 'aborted') return badRequest('the body ended early');
    const message = `the body is larger than ${maxBytes} bytes; split the edit`;
    return Err({code: 'body_too_large', message});
  }
  let value: unknown;
  try {
    value = JSON.parse(body.val.toString('utf8'));
  } catch {
    return badRequest('the body is not JSON');
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  const [issue] = parsed.error.issues;
  const path = issue?.path.join('.') ?? '';
  return badRequest(`body ${path}: ${issue?.message ?? 'is malformed'}`);
}

function badRequest(message: string): Result<never, ApiError> {
  return Err({code: 'bad_request', message});
}
