import type {StartAttempt} from '@wisterialadder/core/gateway/actions/start_attempt.js';
import type {CallerHead} from '../callers/caller_head.js';
import type {ParsedAnswer} from './parsed_answer.js';

/** How endpoints speak. */
export abstract class EndpointCodec {
  /** Headers of an attempt, names and values in turn. */
  abstract headers(action: StartAttempt, head: CallerHead): string[];

  /** Reads the head of an answer. */
  abstract read(
    status: number,
    headers: NodeJS.Dict<string | string[]>,
    callerId: string,
  ): ParsedAnswer;
}
