import {request} from 'undici';

const WEIGHTS_TIMEOUT_MS = 60_000;

/** Fetches a model's weights; false if the store rejects or fails. */
export async function fetchWeights(
  storeUrl: string,
  model: string,
): Promise<boolean> {
  if (storeUrl === '') return true;
  try {
    const url = `${storeUrl}/weights/${encodeURIComponent(model)}`;
    const res = await request(url, {
      method: 'POST',
      headersTimeout: WEIGHTS_TIMEOUT_MS,
      bodyTimeout: WEIGHTS_TIMEOUT_MS,
    });
    await res.body.dump();
    return res.statusCode === 200;
  } catch {
    return false;
  }
}
