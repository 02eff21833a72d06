import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import {request} from 'undici';
import type {CliError} from '../cli_error.js';
import {
  EXPLANATION_RESPONSE,
  type ExplanationResponse,
} from './explanation_response.js';
import {unreachableGateway} from './unreachable_gateway.js';

const TIMEOUT_MS = 5_000;

/** Asks a gateway where a described request would go. */
export async function fetchExplanation(
  baseUrl: string,
  query: URLSearchParams,
): Promise<Result<ExplanationResponse, CliError>> {
  const location = `GET ${baseUrl}/explain`;
  try {
    const res = await request(`${baseUrl}/explain?${query}`, {
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    const parsed = EXPLANATION_RESPONSE.safeParse(await res.body.json());
    if (res.statusCode === 200 && parsed.success) return Ok(parsed.data);
    const message = 'the response is not an explanation of wl-gateway';
    const hint = 'Check the address; gateways of earlier releases have none.';
    return Err({exit: 'failed', message, location, hint});
  } catch (err) {
    return Err(unreachableGateway(location, err));
  }
}
