import type {ServerResponse} from 'node:http';
import type {AnswerHead} from '../endpoints/answer_head.js';
import type {CallerHead} from './caller_head.js';

/** A request that has no final answer yet. */
export interface OpenRequest {
  head: CallerHead;
  callerId: string;
  body: Buffer;
  res: ServerResponse;
  /** Heads and bodies that attempts have brought, by attempt. */
  answers: Map<number, ReceivedAnswer>;
}

/** What an endpoint has answered to an attempt. */
export interface ReceivedAnswer {
  head: AnswerHead;
  /** Whole body of an answer that is no stream. */
  body: Buffer | undefined;
}
