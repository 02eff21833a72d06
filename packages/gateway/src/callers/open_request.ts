import type {ServerResponse} from 'node:http';
import type {AnswerHead} from '../endpoints/answer_head.js';
import type {CallerHead} from './caller_head.js';

/** A request that has no final answer yet. */
export interface OpenRequest {
  head: CallerHead;
  callerId: string;
  body: Buffer;
  res: ServerResponse;
  /** Answers received so far, by attempt. */
  answers: Map<number, ReceivedAnswer>;
}

/** An endpoint's answer to an attempt. */
export interface ReceivedAnswer {
  head: AnswerHead;
  /** Complete body of an answer that is not a stream. */
  body: Buffer | undefined;
  /** Blocks of the body behind the first one. */
  more?: Buffer[];
  /** Gives the memory of the answer back, if it is counted. */
  release?(): void;
}
