import type {RandomSource} from '@wisterialadder/core/types/random_source.js';
import {createLengthDistribution} from '../lengths/create_length_distribution.js';
import type {LengthDistribution} from '../lengths/length_distribution.js';
import type {Mix} from '../mix/mix.js';
import type {MixClass} from '../mix/mix_class.js';
import type {MixCustomer} from '../mix/mix_customer.js';
import {buildPrompt} from './build_prompt.js';
import {pickWeighted} from './pick_weighted.js';
import type {PlannedChat, PlannedRequest} from './planned_request.js';
import {uuidV7} from './uuid_v7.js';

type ChatClass = Extract<MixClass, {kind: 'chat'}>;

/** Generates the requests of a run. */
export interface RequestPlanner {
  /** A random request, or two with the same idempotency key. */
  draw(wallMs: number, random: RandomSource): PlannedRequest[];
  /** A request of the first idempotent chat class; undefined if none. */
  baseline(tokens: number): PlannedChat | undefined;
}

/** Creates a planner; `runId` makes ids and prompts unique to the run. */
export function createRequestPlanner(mix: Mix, runId: string): RequestPlanner {
  const lengths = new Map<string, LengthDistribution>();
  for (const mixClass of mix.classes) {
    if (mixClass.kind !== 'chat') continue;
    lengths.set(mixClass.name, createLengthDistribution(mixClass.length));
  }
  let lastNumber = 0;

  function customersOf({customers}: MixClass): MixCustomer[] {
    if (customers.length === 0) return mix.customers;
    return mix.customers.filter(({name}) => customers.includes(name));
  }

  function commonFields(mixClass: MixClass, customer: MixCustomer) {
    lastNumber += 1;
    return {
      id: `${runId}-${lastNumber}`,
      phase: 'load' as const,
      className: mixClass.name,
      customer: customer.name,
      key: customer.key,
      timeoutMs: mixClass.timeoutMs,
      idempotencyKey: '',
      repeated: false,
    };
  }

  function chat(
    mixClass: ChatClass,
    customer: MixCustomer,
    promptTokens: number,
    prefix: string,
  ): PlannedChat {
    const base = commonFields(mixClass, customer);
    const prefixTokens = mixClass.sharedPrefixes?.tokens ?? 0;
    return {
      ...base,
      kind: 'chat',
      model: mixClass.model,
      prompt: buildPrompt(
        promptTokens,
        base.id,
        prefix,
        prefix === '' ? 0 : prefixTokens,
      ),
      promptTokens,
      maxTokens: mixClass.maxTokens,
    };
  }

  function drawOne(random: RandomSource, mixClass: MixClass): PlannedRequest {
    const customer = pickWeighted(customersOf(mixClass), random);
    if (mixClass.kind === 'service') {
      const base = commonFields(mixClass, customer);
      const {service, action} = mixClass;
      const body = JSON.stringify({item: base.id});
      return {...base, kind: 'service', service, action, body};
    }
    const tokens = lengths.get(mixClass.name)?.draw(random) ?? 1;
    const {count = 0} = mixClass.sharedPrefixes ?? {};
    const number = Math.floor(random() * count);
    const prefix = count === 0 ? '' : `${runId} ${mixClass.name} ${number}`;
    return chat(mixClass, customer, tokens, prefix);
  }

  return {
    draw: (wallMs, random) => {
      const mixClass = pickWeighted(mix.classes, random);
      const request = drawOne(random, mixClass);
      if (mixClass.idempotent) return [request];
      request.idempotencyKey = uuidV7(wallMs, random);
      if (random() >= mixClass.repeatShare) return [request];
      lastNumber += 1;
      const duplicate = {
        ...request,
        id: `${runId}-${lastNumber}`,
        repeated: true,
      };
      return [request, duplicate];
    },
    baseline: tokens => {
      const mixClass = mix.classes.find(
        (candidate): candidate is ChatClass =>
          candidate.kind === 'chat' && candidate.idempotent,
      );
      const customer = mixClass && customersOf(mixClass)[0];
      if (!mixClass || !customer) return undefined;
      return {...chat(mixClass, customer, tokens, ''), phase: 'baseline'};
    },
  };
}
