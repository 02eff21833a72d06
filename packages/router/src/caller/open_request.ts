import type {CallerReply} from './caller_reply.js';

/** A caller's request that has no final answer yet. */
export interface OpenRequest {
  reply: CallerReply;
  /** Body as the caller sent it; forwarded unchanged. */
  body: Buffer;
  /** Action called on a plain service; empty for chat completions. */
  action: string;
  idempotencyKey: string;
}
