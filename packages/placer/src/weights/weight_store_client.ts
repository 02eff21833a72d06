import {request} from 'undici';
import type {RequestWeights} from '@wisterialadder/core/placement/actions/request_weights.js';
import type {WeightsSettled} from '@wisterialadder/core/placement/events/weights_settled.js';

/** Upper bound for the delivery of large weights. */
const RESPONSE_TIMEOUT_MS = 60_000;

/** Requests model weights from the weight store. */
export interface WeightStoreClient {
  request(action: RequestWeights): void;
}

/** Creates a client of the platform's weight store. */
export function createWeightStoreClient(
  platformUrl: string,
  push: (event: WeightsSettled) => void,
): WeightStoreClient {
  async function postRequest(model: string): Promise<boolean> {
    const url = `${platformUrl}/weights/${encodeURIComponent(model)}`;
    try {
      const res = await request(url, {
        method: 'POST',
        headersTimeout: RESPONSE_TIMEOUT_MS,
        bodyTimeout: RESPONSE_TIMEOUT_MS,
      });
      await res.body.dump();
      return res.statusCode === 200;
    } catch {
      return false;
    }
  }

  async function send({requestId, model}: RequestWeights): Promise<void> {
    const event = {kind: 'weights_settled' as const, requestId};
    push({...event, granted: await postRequest(model)});
  }

  return {request: action => void send(action)};
}
