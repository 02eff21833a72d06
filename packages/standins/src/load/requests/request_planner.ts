import type {RandomSource} from '@wisterialadder/core/types/random_source.js';
import {createLengthDistribution} from '../lengths/create_length_distribution.js';
import type {LengthDistribution} from '../lengths/length_distribution.js';
import type {Mix} from '../mix/mix.js';
import type {MixClass} from '../mix/mix_class.js';
import type {MixCustomer} from '../mix/mix_customer.js';
import {buildPrompt} from './build_prompt.js';
import {pickByShare} from './pick_by_share.js';
import type {PlannedChat, PlannedRequest} from './planned_request.js';
import {uuidV7} from './uuid_v7.js';

type ChatClass = Extract<MixClass, {kind: 'chat'}>;

/** Draws the requests of a run. */
export interface RequestPlanner {
  /** One request, or two with the same idempotency key. */
  draw(wallMs: number, random: RandomSource): PlannedRequest[];
  /** A request of the first chat class, undefined if there is none. */
  baseline(tokens: number): PlannedChat | undefined;
}

/** Creates a planner; `runId` keeps prompts of several runs apart. */
export function createRequestPlanner(mix: Mix, runId: string): RequestPlanner {
  const lengths = new Map<string, LengthDistribution>();
  for (const item of mix.classes) {
    if (item.kind !== 'chat') continue;
    lengths.set(item.name, createLengthDistribution(item.length));
  }
  let planned = 0;

  function customersOf({customers}: MixClass): MixCustomer[] {
    if (customers.length === 0) return mix.customers;
    return mix.customers.filter(({name}) => customers.includes(name));
  }

  function common(item: MixClass, customer: MixCustomer) {
    planned += 1;
    return {
      id: `${runId}-${planned}`,
      phase: 'load' as const,
      className: item.name,
      customer: customer.name,
      key: customer.key,
      timeoutMs: item.timeoutMs,
      idempotencyKey: '',
      repeated: false,
    };
  }

  function chat(
    item: ChatClass,
    customer: MixCustomer,
    promptTokens: number,
    prefix: string,
  ): PlannedChat {
    const base = common(item, customer);
    const prefixTokens = item.sharedPrefixes?.tokens ?? 0;
    return {
      ...base,
      kind: 'chat',
      model: item.model,
      prompt: buildPrompt(
        promptTokens,
        base.id,
        prefix,
        prefix === '' ? 0 : prefixTokens,
      ),
      promptTokens,
      maxTokens: item.maxTokens,
    };
  }

  function drawOne(random: RandomSource, item: MixClass): PlannedRequest {
    const customer = pickByShare(customersOf(item), random);
    if (item.kind === 'service') {
      const base = common(item, customer);
      const {service, action} = item;
      const body = JSON.stringify({item: base.id});
      return {...base, kind: 'service', service, action, body};
    }
    const tokens = lengths.get(item.name)?.draw(random) ?? 1;
    const {count = 0} = item.sharedPrefixes ?? {};
    const number = Math.floor(random() * count);
    const prefix = count === 0 ? '' : `${runId} ${item.name} ${number}`;
    return chat(item, customer, tokens, prefix);
  }

  return {
    draw: (wallMs, random) => {
      const item = pickByShare(mix.classes, random);
      const request = drawOne(random, item);
      if (item.idempotent) return [request];
      request.idempotencyKey = uuidV7(wallMs, random);
      if (random() >= item.repeatShare) return [request];
      planned += 1;
      const second = {...request, id: `${runId}-${planned}`, repeated: true};
      return [request, second];
    },
    baseline: tokens => {
      const item = mix.classes.find(
        (candidate): candidate is ChatClass =>
          candidate.kind === 'chat' && candidate.idempotent,
      );
      const customer = item && customersOf(item)[0];
      if (!item || !customer) return undefined;
      return {...chat(item, customer, tokens, ''), phase: 'baseline'};
    },
  };
}
