import type {IncomingMessage} from 'node:http';
import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';

/** Why a body could not be read. */
export type BodyError = 'too_large' | 'aborted';

/** Reads a whole body of at most `maxBytes`. */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, BodyError>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maxBytes) return Err('too_large');
      chunks.push(chunk);
    }
  } catch {
    return Err('aborted');
  }
  return Ok(Buffer.concat(chunks));
}
