import {z} from 'zod';
import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';

/** Parses and validates JSON text; the error describes the fault. */
export function parseJson<T>(
  text: string,
  schema: z.ZodType<T>,
): Result<T, string> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return Err('not JSON');
  }
  const parsed = schema.safeParse(value);
  return parsed.success ? Ok(parsed.data) : Err(z.prettifyError(parsed.error));
}
