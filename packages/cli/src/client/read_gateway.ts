import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import {request} from 'undici';
import type {CliError} from '../cli_error.js';
import {GATEWAY_ANSWER, type GatewayAnswer} from './gateway_answer.js';

const TIMEOUT_MS = 5_000;

/** Asks a gateway at the base address of its operations port. */
export async function readGateway(
  baseUrl: string,
): Promise<Result<GatewayAnswer, CliError>> {
  const where = `GET ${baseUrl}/status`;
  try {
    const res = await request(`${baseUrl}/status`, {
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    const parsed = GATEWAY_ANSWER.safeParse(await res.body.json());
    if (res.statusCode === 200 && parsed.success) return Ok(parsed.data);
    const what = 'the answer is not one of wl-gateway';
    return Err({exit: 'failed', what, where, hint: 'Check the address.'});
  } catch (err) {
    return Err({
      exit: 'unreachable',
      what: `no answer (${(err as Error).message})`,
      where,
      hint: 'Give the address of [ops] listen and check that wl-gateway runs.',
    });
  }
}
