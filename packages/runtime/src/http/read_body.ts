import type {IncomingMessage} from 'node:http';
import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import {createBodyCollector} from './body_collector.js';
import type {BodyError} from './body_error.js';

/** Memory and limits of a body that is being read. */
export interface BodyHold {
  /** Takes memory for the body; false if there is none. */
  tryTake(bytes: number): boolean;
  /** Called with each part. */
  received(bytes: number): void;
  /** Settles if the body is given up before its end. */
  dropped: Promise<BodyError>;
}

const UNLIMITED: BodyHold = {
  tryTake: () => true,
  received: () => undefined,
  dropped: new Promise(() => undefined),
};

/**
 * Reads a whole body of at most `maxBytes`. What comes after a failure is
 * discarded.
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
  hold: BodyHold = UNLIMITED,
): Promise<Result<Buffer, BodyError>> {
  if (announcedBytes(req) > maxBytes) {
    req.resume();
    return Promise.resolve(Err('too_large'));
  }
  return new Promise(resolve => {
    const body = createBodyCollector(hold.tryTake);
    let settled = false;
    const onData = (part: Buffer): void => {
      if (body.length() + part.length > maxBytes) return fail('too_large');
      hold.received(part.length);
      if (!body.append(part)) fail('memory_short');
    };
    function fail(reason: BodyError): void {
      // An error is costly to create, and a close follows each body.
      if (settled) return;
      settled = true;
      req.off('data', onData);
      body.drop();
      req.resume();
      resolve(Err(reason));
    }
    req.on('data', onData);
    req.on('end', () => {
      if (settled) return;
      settled = true;
      resolve(Ok(body.take()));
    });
    req.on('error', () => fail('aborted'));
    req.on('close', () => fail('aborted'));
    if (hold !== UNLIMITED) void hold.dropped.then(fail);
  });
}

/** Length that the head announces; 0 if it announces none. */
export function announcedBytes(req: IncomingMessage): number {
  return Number(req.headers['content-length'] ?? 0);
}
