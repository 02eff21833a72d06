import type {IncomingMessage, ServerResponse} from 'node:http';
import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import type {BodyError} from '@wisterialadder/runtime/http/body_error.js';
import type {z} from 'zod';
import type {ApiContext} from './api_context.js';
import type {ApiError} from './api_error.js';

/** Reads a JSON body within the limits of the API and validates it. */
export async function readJson<T>(
  {intake, maxBodyBytes}: ApiContext,
  req: IncomingMessage,
  res: ServerResponse,
  schema: z.ZodType<T>,
): Promise<Result<T, ApiError>> {
  const body = await intake.bodies.read(req, res, maxBodyBytes);
  if (!body.ok) {
    // The unread rest would be parsed as the next request.
    intake.closeAfter(req, res);
    return Err(bodyFault(body.val, maxBodyBytes));
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

function bodyFault(reason: BodyError, maxBytes: number): ApiError {
  switch (reason) {
    case 'too_large': {
      const message = `the body is larger than ${maxBytes} bytes; split the edit`;
      return {code: 'body_too_large', message};
    }
    case 'memory_short':
      return {code: 'overloaded', message: 'there is no memory for the body'};
    case 'too_slow':
      return {code: 'body_too_slow', message: 'the body came too slowly'};
    case 'aborted':
      return {code: 'bad_request', message: 'the body ended early'};
  }
}

function badRequest(message: string): Result<never, ApiError> {
  return Err({code: 'bad_request', message});
}
