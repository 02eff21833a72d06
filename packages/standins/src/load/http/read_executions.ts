import {request} from 'undici';
import {z} from 'zod';
import {parseJson} from '../../shared/parse_json.js';

const REQUEST_TIMEOUT_MS = 5_000;
const EXECUTIONS_SCHEMA = z.record(z.string(), z.number());

/** Sums executions by key; an unreachable service adds none. */
export async function readExecutions(
  serviceUrls: string[],
): Promise<Record<string, number>> {
  const sums = new Map<string, number>();
  for (const url of serviceUrls) {
    for (const [key, count] of Object.entries(
      await readServiceExecutions(url),
    )) {
      sums.set(key, (sums.get(key) ?? 0) + count);
    }
  }
  return Object.fromEntries(sums);
}

async function readServiceExecutions(
  url: string,
): Promise<Record<string, number>> {
  try {
    const res = await request(`${url}/executions`, {
      headersTimeout: REQUEST_TIMEOUT_MS,
      bodyTimeout: REQUEST_TIMEOUT_MS,
    });
    const counts = parseJson(await res.body.text(), EXECUTIONS_SCHEMA);
    return counts.ok ? counts.val : {};
  } catch {
    return {};
  }
}
