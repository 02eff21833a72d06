import type {EndpointHints} from '@wisterialadder/core/endpoint_hints/endpoint_hints.js';
import type {AnswerIdentity} from '@wisterialadder/core/types/answer_identity.js';
import type {AnswerHead} from './answer_head.js';
import type {AnswerVerdict} from './answer_verdict.js';

/** Parsed head of an answer. */
export interface ParsedAnswer {
  verdict: AnswerVerdict;
  head: AnswerHead;
  /** Which request the answer names. */
  identity: Exclude<AnswerIdentity, 'none'>;
  /** Keep-alive time that the endpoint states; undefined if it states none. */
  keepAliveMs: number | undefined;
  /** Endpoint that the answer names as the cause of a failure; else empty. */
  atFault: string;
  hints: EndpointHints;
}
