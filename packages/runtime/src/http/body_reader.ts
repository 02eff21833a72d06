import type {IncomingMessage, ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {Err, type Result} from '@wisterialadder/core/shared/result.js';
import {headHeapBytes} from '../memory/head_bytes.js';
import type {MemoryBudget} from '../memory/memory_budget.js';
import type {BodyError} from './body_error.js';
import type {BodyRate} from './body_rate.js';
import {announcedBytes, readBody} from './read_body.js';
import {UnfinishedBody} from './unfinished_body.js';

/** Reads bodies within the memory budget of the process. */
export interface BodyReader {
  /** Reads a body; its memory and that of its head count until the answer is closed. */
  read(
    req: IncomingMessage,
    res: ServerResponse,
    maxBytes: number,
  ): Promise<Result<Buffer, BodyError>>;
}

/** Dependencies of a body reader. */
export interface BodyReaderParts {
  budget: MemoryBudget;
  rate(): BodyRate;
  /** Called for each part of a body. */
  onReceived?(req: IncomingMessage, bytes: number): void;
  /** Called for each body that is given up. */
  onDropped(reason: BodyError): void;
}

/** Creates a reader; the owner of the budget starts its intervals. */
export function createBodyReader(parts: BodyReaderParts): BodyReader {
  const {budget} = parts;

  async function read(
    req: IncomingMessage,
    res: ServerResponse,
    maxBytes: number,
  ): Promise<Result<Buffer, BodyError>> {
    const announced = announcedBytes(req);
    if (announced <= maxBytes && !budget.canHold(announced)) {
      req.resume();
      return report(Err('memory_short'));
    }
    return report(await readHeld(req, res, maxBytes));
  }

  async function readHeld(
    req: IncomingMessage,
    res: ServerResponse,
    maxBytes: number,
  ): Promise<Result<Buffer, BodyError>> {
    let drop = (_reason: BodyError): void => undefined;
    const dropped = new Promise<BodyError>(resolve => (drop = resolve));
    const holder = new UnfinishedBody(parts.rate(), performance.now(), drop);
    const headBytes = headHeapBytes(req);
    if (!budget.resize(holder, headBytes, headBytes)) {
      req.resume();
      return Err('memory_short');
    }
    res.on('close', () => budget.remove(holder));
    const body = await readBody(req, maxBytes, {
      tryTake: bytes => budget.tryTake(holder, bytes),
      received: bytes => {
        holder.moved(bytes);
        parts.onReceived?.(req, bytes);
      },
      dropped,
    });
    if (!body.ok || res.closed) budget.remove(holder);
    else holder.finish();
    return body;
  }

  function report(body: Result<Buffer, BodyError>): Result<Buffer, BodyError> {
    if (!body.ok) parts.onDropped(body.val);
    return body;
  }

  return {read};
}
