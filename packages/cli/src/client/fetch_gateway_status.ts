import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import {request} from 'undici';
import type {CliError} from '../cli_error.js';
import {
  GATEWAY_STATUS_RESPONSE,
  type GatewayStatusResponse,
} from './gateway_status_response.js';
import {unreachableGateway} from './unreachable_gateway.js';

const TIMEOUT_MS = 5_000;

/** Fetches the status of the gateway whose operations port has a base URL. */
export async function fetchGatewayStatus(
  baseUrl: string,
): Promise<Result<GatewayStatusResponse, CliError>> {
  const location = `GET ${baseUrl}/status`;
  try {
    const res = await request(`${baseUrl}/status`, {
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    const parsed = GATEWAY_STATUS_RESPONSE.safeParse(await res.body.json());
    if (res.statusCode === 200 && parsed.success) return Ok(parsed.data);
    const message = 'the response is not a status of wl-gateway';
    return Err({exit: 'failed', message, location, hint: 'Check the address.'});
  } catch (err) {
    return Err(unreachableGateway(location, err));
  }
}
