import {request} from 'undici';
import {z} from 'zod';
import type {RouterStatus} from './router_status.js';

/** Limits concurrent probes; a larger fleet is probed in batches. */
const MAX_CONCURRENT_PROBES = 32;
const OFFSET_LINE = /^wl_table_offset (\d+)/m;
const READY_ANSWER = z.object({ready: z.boolean(), reason: z.string()});

/** Reads readiness and table offset of each router. */
export async function probeRouters(
  addresses: readonly string[],
  timeoutMs: number,
): Promise<RouterStatus[]> {
  const found: RouterStatus[] = [];
  for (let i = 0; i < addresses.length; i += MAX_CONCURRENT_PROBES) {
    const batch = addresses.slice(i, i + MAX_CONCURRENT_PROBES);
    const probes = batch.map(address => probeRouter(address, timeoutMs));
    found.push(...(await Promise.all(probes)));
  }
  return found;
}

async function probeRouter(
  address: string,
  timeoutMs: number,
): Promise<RouterStatus> {
  try {
    const [ready, metrics] = await Promise.all([
      get(`http://${address}/readyz`, timeoutMs),
      get(`http://${address}/metrics`, timeoutMs),
    ]);
    const offset = OFFSET_LINE.exec(metrics)?.[1];
    return {
      address,
      reachable: true,
      ...READY_ANSWER.parse(JSON.parse(ready)),
      offset: offset === undefined ? -1 : Number(offset),
    };
  } catch {
    const reason = 'no valid answer on the operations port';
    return {address, reachable: false, ready: false, reason, offset: -1};
  }
}

// Connecting has a timeout of its own, so a signal bounds the whole request.
async function get(url: string, timeoutMs: number): Promise<string> {
  const res = await request(url, {signal: AbortSignal.timeout(timeoutMs)});
  return res.body.text();
}
