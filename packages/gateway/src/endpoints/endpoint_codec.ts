import type {StartAttempt} from '@wisterialadder/core/gateway/actions/start_attempt.js';
import type {CallerHead} from '../callers/caller_head.js';
import type {ParsedAnswer} from './parsed_answer.js';

/** Protocol between the gateway and endpoints. */
export abstract class EndpointCodec {
  /** Headers of an attempt, alternating names and values. */
  abstract headers(action: StartAttempt, head: CallerHead): string[];

  /** Parses the head of an answer. */
  abstract read(
    status: number,
    headers: NodeJS.Dict<string | string[]>,
    callerId: string,
  ): ParsedAnswer;
}
