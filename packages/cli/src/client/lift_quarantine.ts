import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import {request} from 'undici';
import type {CliError} from '../cli_error.js';
import {unreachableGateway} from './unreachable_gateway.js';

const TIMEOUT_MS = 5_000;
const ACCEPTED_STATUS = 202;

/** Asks a gateway to lift the quarantine of a cause for the whole fleet. */
export async function liftQuarantine(
  baseUrl: string,
  cause: string,
): Promise<Result<void, CliError>> {
  const location = `POST ${baseUrl}/quarantine/${cause}/lift`;
  try {
    const res = await request(`${baseUrl}/quarantine/${cause}/lift`, {
      method: 'POST',
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    await res.body.dump();
    if (res.statusCode === ACCEPTED_STATUS) return Ok(undefined);
    const message = `the gateway answered ${res.statusCode}`;
    const hint = 'Give an id as "gateway quarantine" shows it.';
    return Err({exit: 'failed', message, location, hint});
  } catch (err) {
    return Err(unreachableGateway(location, err));
  }
}
