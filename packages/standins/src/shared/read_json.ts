import type {IncomingMessage} from 'node:http';
import type {z} from 'zod';
import {Err, type Result} from '@wisterialadder/core/shared/result.js';
import {readBody} from '@wisterialadder/runtime/http/read_body.js';
import {parseJson} from './parse_json.js';

/** A prompt of 1,000,000 tokens takes about 4 MB. */
const MAX_BODY_BYTES = 64 * 1_024 * 1_024;

/** Reads and validates a JSON body; the error text is for the client. */
export async function readJson<T>(
  req: IncomingMessage,
  schema: z.ZodType<T>,
): Promise<Result<T, string>> {
  const body = await readBody(req, MAX_BODY_BYTES);
  if (!body.ok) return Err(body.val);
  return parseJson(body.val.toString('utf8'), schema);
}
