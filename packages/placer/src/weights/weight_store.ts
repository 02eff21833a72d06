import {request} from 'undici';
import type {RequestWeights} from '@wisterialadder/core/placement/actions/request_weights.js';
import type {WeightsSettled} from '@wisterialadder/core/placement/events/weights_settled.js';

/** Delivery of large weights takes this long at most. */
const ANSWER_TIMEOUT_MS = 60_000;

/** Asks the weight store for loads. */
export interface WeightStore {
  request(action: RequestWeights): void;
}

/** Creates a client of the platform's weight store. */
export function createWeightStore(
  platformUrl: string,
  push: (event: WeightsSettled) => void,
): WeightStore {
  async function granted(model: string): Promise<boolean> {
    const url = `${platformUrl}/weights/${encodeURIComponent(model)}`;
    try {
      const res = await request(url, {
        method: 'POST',
        headersTimeout: ANSWER_TIMEOUT_MS,
        bodyTimeout: ANSWER_TIMEOUT_MS,
      });
      await res.body.dump();
      return res.statusCode === 200;
    } catch {
      return false;
    }
  }

  async function ask({requestId, model}: RequestWeights): Promise<void> {
    const event = {kind: 'weights_settled' as const, requestId};
    push({...event, granted: await granted(model)});
  }

  return {request: action => void ask(action)};
}
